package ledger

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

// TestFailedSettlementsAreRetried fails every other settlement. Each must be recorded exactly once in the end,
// and the queue must respect its limits.
func TestFailedSettlementsAreRetried(t *testing.T) {
	u := newSettleQueue(nil, clockwork.NewFakeClock())
	var mu sync.Mutex
	tries, recorded := 0, map[string]int{}
	u.settle = func(_ context.Context, r wire.SettleRequest) error {
		mu.Lock()
		defer mu.Unlock()
		if tries++; tries%2 == 0 {
			return errors.New("no leader")
		}
		recorded[r.Key]++
		return nil
	}
	for i := range 3*settleBatchSize + 5 {
		u.add(wire.SettleRequest{ClaimKey: wire.ClaimKey{Key: string(rune('a' + i))}})
	}
	for u.step(context.Background()) {
	}
	if len(recorded) != 3*settleBatchSize+5 || u.bytes != 0 {
		t.Fatalf("%d recorded, %d bytes left", len(recorded), u.bytes)
	}
	for key, n := range recorded {
		if n != 1 {
			t.Errorf("%q recorded %d times", key, n)
		}
	}
	large := wire.SettleRequest{Outcome: wire.Outcome{Body: make([]byte, maxAnswerBytes)}}
	for range maxQueuedBytes/maxAnswerBytes + 1 {
		u.add(large)
	}
	if len(u.list) != maxQueuedBytes/maxAnswerBytes || u.bytes != maxQueuedBytes {
		t.Fatalf("%d kept with %d bytes", len(u.list), u.bytes)
	}
}
