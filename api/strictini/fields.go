package strictini

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// fields are the keys of a struct type, from the `ini` tags of its fields and those of embedded structs.
type fields struct {
	byKey    map[string][]int // field index for reflect.Value.FieldByIndex
	required []string
}

// fieldsByType caches fields by struct type: a text has thousands of sections of a few types.
var fieldsByType sync.Map // reflect.Type to *fields

func fieldsOf(t reflect.Type) *fields {
	if f, ok := fieldsByType.Load(t); ok {
		return f.(*fields)
	}
	f := &fields{byKey: map[string][]int{}}
	f.collect(t, nil)
	fieldsByType.Store(t, f)
	return f
}

func (f *fields) collect(t reflect.Type, parent []int) {
	for i := range t.NumField() {
		field := t.Field(i)
		index := append(slices.Clip(parent), i)
		if field.Anonymous {
			f.collect(field.Type, index)
			continue
		}
		key := field.Tag.Get("ini")
		if key == "" || key == "-" {
			continue
		}
		f.byKey[key] = index
		if field.Tag.Get("required") == "true" {
			f.required = append(f.required, key)
		}
	}
}

// keys returns the sorted, comma-separated keys, for use in a remedy.
func (f *fields) keys() string {
	return strings.Join(slices.Sorted(maps.Keys(f.byKey)), ", ")
}
