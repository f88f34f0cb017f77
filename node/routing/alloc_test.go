//go:build !race

package routing

import (
	"strings"
	"testing"
	"time"
)

// TestChooseDoesNotAllocate checks that a choice allocates nothing. It is left out of
// race builds, where sync.Pool drops items at random.
func TestChooseDoesNotAllocate(t *testing.T) {
	s, es := newTestTable(30)
	prefix := PrefixHashes("m", []byte(strings.Repeat("0123456789abcdef", 1024)))
	es[3].Sent(prefix)
	r := Request{Service: testService, Now: time.Now(), Size: 16 << 10, Prefix: prefix}
	if n := testing.AllocsPerRun(200, func() { s.Choose(r) }); n >= 1 {
		t.Errorf("%g allocations per choice", n)
	}
}
