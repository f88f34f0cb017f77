package gate

import (
	"testing"

	"caperdrum.org/node/internal/rapidtest"
)

// A missing tombstone shows up only after some hundred checks.
func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261202", "checks=2000", "nofailfile=true") }
