package strictini

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// fields are the keys that a struct type knows, by the `ini` tags of its fields and of those of embedded structs.
type fields struct {
	byKey    map[string][]int // index of each key's field, for reflect.Value.FieldByIndex
	required []string
}

// known holds the fields of each type that was decoded into: a text has thousands of sections of a few types.
var known sync.Map // reflect.Type to *fields

func fieldsOf(t reflect.Type) *fields {
	if f, ok := known.Load(t); ok {
		return f.(*fields)
	}
	f := &fields{byKey: map[string][]int{}}
	f.add(t, nil)
	known.Store(t, f)
	return f
}

func (f *fields) add(t reflect.Type, parent []int) {
	for i := range t.NumField() {
		field := t.Field(i)
		at := append(slices.Clip(parent), i)
		if field.Anonymous {
			f.add(field.Type, at)
			continue
		}
		key := field.Tag.Get("ini")
		if key == "" || key == "-" {
			continue
		}
		f.byKey[key] = at
		if field.Tag.Get("required") == "true" {
			f.required = append(f.required, key)
		}
	}
}

// keys lists the known keys for a remedy.
func (f *fields) keys() string {
	return strings.Join(slices.Sorted(maps.Keys(f.byKey)), ", ")
}
