package consensus_test

import (
	"testing"

	"caperdrum.org/node/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1", "checks=400", "steps=100") }
