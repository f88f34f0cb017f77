package state

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}
