package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of rapid runs; the flags override it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.steps", "100")
	flag.Set("rapid.checks", "3000")
	os.Exit(m.Run())
}
