package e2e

import (
	"testing"

	"caperdrum.org/e2e/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
