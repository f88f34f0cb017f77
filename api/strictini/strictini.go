// Package strictini decodes INI files into structs and rejects unknown keys and
// duplicates. Every error names the file, the line and a remedy, and all errors of
// a file are reported together.
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

// Problem is one error in a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // 1-based; 0 if something is missing from the file
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String formats p as "file:line: fault; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; %s", p.File, p.Line, p.Fault, p.Remedy)
}

// Problems is an error that holds all problems of a file.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file with its line numbers and the problems found so far.
type File struct {
	name     string
	ini      *ini.File
	lines    map[position]int
	problems Problems
}

type position struct{ section, key string }

// Parse parses data. It checks only the syntax and returns Problems if that is invalid;
// Decode checks the contents. name stands for the file in errors.
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
			f.recordLine(position{section, ""}, n)
		default:
			key, _, found := strings.Cut(line, "=")
			if found {
				f.recordLine(position{section, strings.TrimSpace(key)}, n)
			}
		}
	}
}

func (f *File) recordLine(p position, line int) {
	if _, seen := f.lines[p]; seen {
		f.problems = append(f.problems, Problem{f.name, line, p.duplicateFault(), "keep one of them"})
		return
	}
	f.lines[p] = line
}

// duplicateFault describes a second occurrence of a section or key.
func (p position) duplicateFault() string {
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

// HasSection reports whether the file has the section.
func (f *File) HasSection(section string) bool { return f.ini.HasSection(section) }

// Fail records a problem found by the caller. It is reported at the line of the key, or at
// the section header if key is empty or missing from the section.
func (f *File) Fail(section, key, fault, remedy string) {
	line := f.lines[position{section, key}]
	if line == 0 {
		line = f.lines[position{section, ""}]
	}
	f.problems = append(f.problems, Problem{f.name, line, fault, remedy})
}

// Err returns all problems as Problems, ordered by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return f.problems
}

// Decode decodes a section into the struct that out points to. Keys are matched with
// `ini` field tags; an unknown key is a problem. Fields without a key in the section
// keep their value, so callers set defaults first. A field tagged `required:"true"` must
// be present and not empty. Problems are recorded for Err.
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
		index, known := fields.byKey[key.Name()]
		switch raw := key.String(); {
		case !known:
			unknown = append(unknown, key.Name())
		case raw != "":
			f.decodeField(section, key.Name(), raw, v.FieldByIndex(index))
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
	if err := setValue(v, raw); err != nil {
		f.Fail(section, key, fmt.Sprintf("%s = %s: %v", key, raw, err), remedyFor(v))
	}
}

var durationType = reflect.TypeFor[time.Duration]()

func setValue(v reflect.Value, raw string) error {
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

// SplitList splits a comma-separated value, trims the elements and drops empty ones.
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
