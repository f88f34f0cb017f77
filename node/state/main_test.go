package state_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of the property tests; flags override both.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}
