package ledger

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

const (
	unrecordedMax   = 8192
	unrecordedBytes = 16 << 20               // of answers
	unrecordedBatch = 64                     // recorded at a time
	unrecordedPause = 300 * time.Millisecond // between two tries, on average
)

var (
	unrecordedVar = expvar.NewInt("ledger_unrecorded")
	droppedVar    = expvar.NewInt("ledger_unrecorded_dropped")
)

// unrecorded holds the settlements that control has not confirmed and repeats
// each until it has. They stay true however late they arrive: a settlement
// names its attempt and has no effect on any other.
type unrecorded struct {
	settle func(context.Context, wire.SettleRequest) error
	clock  clockwork.Clock
	wake   chan struct{}

	mu    sync.Mutex
	list  []wire.SettleRequest
	bytes int
}

func newUnrecorded(c control, clock clockwork.Clock) *unrecorded {
	return &unrecorded{clock: clock, wake: make(chan struct{}, 1), settle: func(ctx context.Context, r wire.SettleRequest) error {
		_, err := c.Settle(ctx, r)
		return err
	}}
}

// add keeps r. Beyond the bounds it is dropped: its key then stays held until a
// resend asks the gate.
func (u *unrecorded) add(r wire.SettleRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	size := len(r.Outcome.Body)
	if len(u.list) >= unrecordedMax || u.bytes+size > unrecordedBytes {
		droppedVar.Add(1)
		return
	}
	u.list = append(u.list, r)
	u.bytes += size
	unrecordedVar.Set(int64(len(u.list)))
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the oldest settlements.
func (u *unrecorded) take() []wire.SettleRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := min(len(u.list), unrecordedBatch)
	batch := u.list[:n:n]
	u.list = append([]wire.SettleRequest(nil), u.list[n:]...)
	for _, r := range batch {
		u.bytes -= len(r.Outcome.Body)
	}
	unrecordedVar.Set(int64(len(u.list)))
	return batch
}

func (u *unrecorded) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		}
		for u.step(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-u.clock.After(unrecordedPause/2 + rand.N(unrecordedPause)):
			}
		}
	}
}

// step records what it can and reports whether some is left.
func (u *unrecorded) step(ctx context.Context) bool {
	for batch := u.take(); len(batch) > 0; batch = u.take() {
		if !u.record(ctx, batch) {
			return true
		}
	}
	return false
}

// record reports whether the whole batch was recorded; the rest is kept.
func (u *unrecorded) record(ctx context.Context, batch []wire.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	failed := make([]bool, len(batch))
	var wg sync.WaitGroup
	for i, r := range batch {
		wg.Go(func() { failed[i] = u.settle(ctx, r) != nil })
	}
	wg.Wait()
	whole := true
	for i, r := range batch {
		if failed[i] {
			whole = false
			u.add(r)
		}
	}
	return whole
}
