package ledger

import (
	"testing"

	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1", "steps=100", "checks=3000") }
