// Package rapidtest configures tests that use rapid (pgregory.net/rapid): `go test` must be reproducible,
// while `make fuzz` passes its own seeds and lengths.
package rapidtest

import (
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// NoDeadline hides the deadline of a test, because a synctest bubble must not ask for it.
type NoDeadline struct{ rapid.TB }

// Main runs the tests of a package with its own defaults for the flags of rapid, each written as NAME=VALUE
// without the prefix "rapid.". Flags on the command line override them. Call it from TestMain.
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
