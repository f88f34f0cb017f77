package daemon

import (
	"math"
	runtimedebug "runtime/debug"
	"testing"

	"caperdrum.org/node/settings"
)

// TestGCMemoryLimit checks the memory limit that is derived from the settings.
func TestGCMemoryLimit(t *testing.T) {
	t.Setenv("GOGC", "")
	t.Setenv("GOMEMLIMIT", "")
	defer runtimedebug.SetMemoryLimit(runtimedebug.SetMemoryLimit(-1))
	for memory, want := range map[int]int64{0: math.MaxInt64, 200: 120 << 20} {
		runtimedebug.SetMemoryLimit(math.MaxInt64)
		configureGC(&settings.Settings{Node: settings.Node{MemoryMB: memory}})
		if got := runtimedebug.SetMemoryLimit(-1); got != want {
			t.Errorf("%d MB: limit is %d bytes, want %d", memory, got, want)
		}
	}
}
