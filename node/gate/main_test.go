package gate

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("20261202")
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		checks.Value.Set("2000") // a missing tombstone needs some hundred
	}
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
