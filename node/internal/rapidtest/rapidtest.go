// Package rapidtest sets up packages whose tests use rapid
// (pgregory.net/rapid): `go test` must do the same every time, and `make fuzz`
// passes seeds and lengths of its own.
package rapidtest

import (
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Bubbled hides the deadline of a test, which must not be asked for inside of
// a synctest bubble.
type Bubbled struct{ rapid.TB }

// Main runs a package's tests with its own defaults of rapid's flags, each
// written NAME=VALUE without the prefix "rapid.". The command line goes before
// them. Call it from TestMain.
func Main(m *testing.M, defaults ...string) {
	for _, d := range defaults {
		name, value, _ := strings.Cut(d, "=")
		// The command line is parsed later, by m.Run.
		if err := flag.Set("rapid."+name, value); err != nil {
			panic("rapidtest: " + err.Error())
		}
	}
	os.Exit(m.Run())
}
