package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that a run is the same each time;
// -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		seed.Value.Set("20260102")
	}
	os.Exit(m.Run())
}
