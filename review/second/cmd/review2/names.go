package main

import (
	"embed"
	"encoding/json"
	"strings"
)

// The users' names for headers, paths and settings stand in text files: Go files outside two folders hold none.
//
//go:embed names.json document.json
var texts embed.FS

var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal([]byte(text("names.json")), &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}()

func text(file string) string {
	data, err := texts.ReadFile(file)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// name returns the users' name for a header, a path or a field of the settings.
func name(key string) string {
	n, known := names[key]
	if !known {
		panic("no name for " + key)
	}
	return n
}

// replaceID fills an id into a path.
func replaceID(path, id string) string { return strings.Replace(path, "ID", id, 1) }
