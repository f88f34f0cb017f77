package optext

import (
	"sort"
	"strings"

	"caperdrum.org/api/strictini"
)

// ChangedSections returns the sorted names of the sections in which two texts differ.
// Comments, blank lines and the order of keys are ignored.
func ChangedSections(from, to string) []string {
	old, next := normalizeSections(from), normalizeSections(to)
	changed := map[string]bool{}
	for name, body := range old {
		if next[name] != body {
			changed[name] = true
		}
	}
	for name, body := range next {
		if old[name] != body {
			changed[name] = true
		}
	}
	return sortedKeys(changed)
}

// SectionNames returns the names of the sections of one kind, such as service, in the
// order of the text.
func SectionNames(text, kind string) []string {
	var out []string
	for line := range strings.Lines(text) {
		section, isSection := strings.CutPrefix(strings.TrimSpace(line), "["+kind+":")
		if name, closed := strings.CutSuffix(section, "]"); isSection && closed {
			out = append(out, name)
		}
	}
	return out
}

// normalizeSections returns each section's keys and values, trimmed and sorted. An empty
// section differs from a missing one.
func normalizeSections(text string) map[string]string {
	out := map[string]string{}
	name := ""
	lines := map[string][]string{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			name = strings.TrimSpace(line[1 : len(line)-1])
			lines[name] = append(lines[name], "")
		default:
			key, value, _ := strings.Cut(line, "=")
			lines[name] = append(lines[name], strings.TrimSpace(key)+"="+strings.TrimSpace(value))
		}
	}
	for section, body := range lines {
		sort.Strings(body)
		out[section] = strings.Join(body, "\n")
	}
	return out
}

// Rights are the sections of a text that a team may change.
type Rights struct {
	All       bool
	Services  []string
	Pipelines []string
}

// Owns reports whether the rights cover the section.
func (r Rights) Owns(section string) bool {
	if r.All {
		return true
	}
	kind, name, _ := strings.Cut(section, ":")
	switch kind {
	case "service":
		return contains(r.Services, name)
	case "pipeline":
		return contains(r.Pipelines, name)
	case "stage":
		pipeline, _, _ := strings.Cut(name, "/")
		return contains(r.Pipelines, pipeline)
	}
	return false
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// CheckRights returns strictini.Problems with every changed section that the rights do not
// cover, or nil.
func CheckRights(changed []string, r Rights) error {
	var problems strictini.Problems
	for _, section := range changed {
		if !r.Owns(section) {
			problems = append(problems, strictini.Problem{File: "text", Fault: "section [" + section + "] is changed, which does not belong to your team",
				Remedy: "leave it as it is in force, or ask an administrator"})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return problems
}
