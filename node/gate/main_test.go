package gate

import (
	"testing"

	"caperdrum.org/node/internal/rapidtest"
)

// A missing tombstone needs some hundred checks to show.
func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261202", "checks=2000", "nofailfile=true") }
