// Package strictini decodes INI files into structs and refuses whatever the
// structs do not know. Every error names the file, the line and a remedy, and
// all errors of a file are reported together.
package strictini

import (
	"bufio"
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// Problem is one fault of a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // 1-based; 0 when the fault is an absence
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String formats p as file:line: fault; remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; %s", p.File, p.Line, p.Fault, p.Remedy)
}

// Problems is an error that holds every fault found.
type Problems []Problem

// Error implements error, one fault a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file together with its line numbers and the faults
// found so far.
type File struct {
	name     string
	ini      *ini.File
	lines    map[position]int
	problems Problems
}

type position struct{ section, key string }

// Parse reads data. Only syntax is checked; Decode checks the contents.
func Parse(name string, data []byte) (*File, error) {
	opts := ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00", IgnoreContinuation: true}
	f := &File{name: name, lines: make(map[position]int, bytes.Count(data, []byte("\n")))}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, Problems{{File: name, Fault: err.Error(), Remedy: "write [section] and key = value lines"}}
	}
	f.ini = parsed
	f.indexLines(data)
	return f, nil
}

func (f *File) indexLines(data []byte) {
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			f.note(position{section, ""}, n)
		default:
			key, _, found := strings.Cut(line, "=")
			if found {
				f.note(position{section, strings.TrimSpace(key)}, n)
			}
		}
	}
}

func (f *File) note(p position, line int) {
	if _, seen := f.lines[p]; seen {
		f.problems = append(f.problems, Problem{f.name, line, p.twice(), "keep one of them"})
		return
	}
	f.lines[p] = line
}

// twice is the fault of what stands at more than one place.
func (p position) twice() string {
	if p.key == "" {
		return "section [" + p.section + "] stands twice"
	}
	return fmt.Sprintf("key %q stands twice in [%s]", p.key, p.section)
}

// Sections returns the names of all sections in the order of the file.
func (f *File) Sections() []string {
	var out []string
	for _, s := range f.ini.Sections() {
		if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
			out = append(out, s.Name())
		}
	}
	return out
}

// Has reports whether the section stands in the file.
func (f *File) Has(section string) bool { return f.ini.HasSection(section) }

// Fail records a fault found by the caller. An empty key points at the
// section's own line.
func (f *File) Fail(section, key, fault, remedy string) {
	line := f.lines[position{section, key}]
	if line == 0 {
		line = f.lines[position{section, ""}]
	}
	f.problems = append(f.problems, Problem{f.name, line, fault, remedy})
}

// Err returns all faults, ordered by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return f.problems
}

// Decode fills the struct that out points at from the section. Fields are
// matched by their `ini` tag; a key without a field is a fault. Fields whose
// key is absent keep their value, so defaults are set before the call; a
// `required:"true"` field must be present and not empty.
func (f *File) Decode(section string, out any) {
	sec, err := f.ini.GetSection(section)
	if err != nil {
		f.Fail(section, "", "section ["+section+"] is missing", "add it")
		return
	}
	v := reflect.ValueOf(out).Elem()
	fields := fieldsOf(v.Type())
	var unknown []string
	for _, key := range sec.Keys() {
		at, known := fields.byKey[key.Name()]
		switch raw := key.String(); {
		case !known:
			unknown = append(unknown, key.Name())
		case raw != "":
			f.decodeField(section, key.Name(), raw, v.FieldByIndex(at))
		}
	}
	for _, key := range fields.required {
		if !sec.HasKey(key) || sec.Key(key).String() == "" {
			f.Fail(section, key, fmt.Sprintf("key %q is missing in [%s]", key, section), "add "+key+" = ...")
		}
	}
	for _, key := range unknown {
		f.Fail(section, key, fmt.Sprintf("unknown key %q in [%s]", key, section), "remove it or use one of: "+fields.keys())
	}
}

func (f *File) decodeField(section, key, raw string, v reflect.Value) {
	if err := set(v, raw); err != nil {
		f.Fail(section, key, fmt.Sprintf("%s = %s: %v", key, raw, err), remedyFor(v))
	}
}

var durationType = reflect.TypeFor[time.Duration]()

func set(v reflect.Value, raw string) error {
	if v.Type() == durationType {
		d, err := time.ParseDuration(raw)
		if err == nil && d < 0 {
			err = errors.New("negative duration")
		}
		v.SetInt(int64(d))
		return err
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(raw)
		return nil
	case reflect.Bool:
		b, err := strconv.ParseBool(raw)
		v.SetBool(b)
		return err
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(raw, 10, 64)
		if err == nil && n < 0 {
			err = errors.New("negative number")
		}
		v.SetInt(n)
		return err
	case reflect.Float64:
		x, err := strconv.ParseFloat(raw, 64)
		if err == nil && !(x >= 0) {
			err = errors.New("not a number of zero or more")
		}
		v.SetFloat(x)
		return err
	case reflect.Slice:
		v.Set(reflect.ValueOf(SplitList(raw)))
		return nil
	default:
		return errors.Errorf("strictini: unsupported field type %s", v.Type())
	}
}

// SplitList splits a comma-separated value and trims each part.
func SplitList(raw string) []string {
	var out []string
	for part := range strings.SplitSeq(raw, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func remedyFor(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return "write a duration such as 250ms or 5s"
	case v.Kind() == reflect.Bool:
		return "write true or false"
	default:
		return "write a number of zero or more"
	}
}
