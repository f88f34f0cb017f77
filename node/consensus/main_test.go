package consensus_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of rapid's run unless they are given: `go test` must do the
// same every time, and `make fuzz` passes fresh ones.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "100"} {
		if !given[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
