package lab

import (
	_ "embed"
	"os"
	"strings"
)

//go:embed names.txt
var namesText string

//go:embed fields.txt
var fieldsText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	out := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(line, " = "); ok && !strings.HasPrefix(line, "#") {
			out[key] = value
		}
	}
	return out
}

// Name returns a name of the users' pages; see names.txt. Args replace its variables: name and value in turn.
func Name(key string, args ...string) string {
	text, known := names[key]
	if !known {
		panic("no name " + key)
	}
	return Fill(text, args...)
}

// Fill replaces the variables in a text: args are name and value in turn.
func Fill(text string, args ...string) string {
	values := map[string]string{}
	for i := 0; i+1 < len(args); i += 2 {
		values[args[i]] = args[i+1]
	}
	return os.Expand(text, func(name string) string { return values[name] })
}
