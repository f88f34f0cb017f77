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
	maxQueued        = 8192
	maxQueuedBytes   = 16 << 20               // limit of the answers' total size
	settleBatchSize  = 64                     // settlements recorded concurrently
	settleRetryPause = 300 * time.Millisecond // average pause between two attempts
)

var (
	unrecordedVar = expvar.NewInt("ledger_unrecorded")
	droppedVar    = expvar.NewInt("ledger_unrecorded_dropped")
)

// settleQueue holds the settlements that control has not confirmed and retries each until it has. A
// settlement stays valid however late it arrives, because it names its attempt and has no effect on any
// other.
type settleQueue struct {
	settle func(context.Context, wire.SettleRequest) error
	clock  clockwork.Clock
	wake   chan struct{}

	mu    sync.Mutex
	list  []wire.SettleRequest
	bytes int
}

func newSettleQueue(c control, clock clockwork.Clock) *settleQueue {
	return &settleQueue{clock: clock, wake: make(chan struct{}, 1), settle: func(ctx context.Context, r wire.SettleRequest) error {
		_, err := c.Settle(ctx, r)
		return err
	}}
}

// add queues r. If the queue is full, r is dropped: its key then stays held until a resend or a sweep asks
// the gate.
func (u *settleQueue) add(r wire.SettleRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	size := len(r.Outcome.Body)
	if len(u.list) >= maxQueued || u.bytes+size > maxQueuedBytes {
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

// take removes and returns up to settleBatchSize of the oldest settlements.
func (u *settleQueue) take() []wire.SettleRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := min(len(u.list), settleBatchSize)
	batch := u.list[:n:n]
	u.list = append([]wire.SettleRequest(nil), u.list[n:]...)
	for _, r := range batch {
		u.bytes -= len(r.Outcome.Body)
	}
	unrecordedVar.Set(int64(len(u.list)))
	return batch
}

func (u *settleQueue) run(ctx context.Context) {
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
			case <-u.clock.After(settleRetryPause/2 + rand.N(settleRetryPause)):
			}
		}
	}
}

// step records queued settlements until one fails, and reports whether any are left.
func (u *settleQueue) step(ctx context.Context) bool {
	for batch := u.take(); len(batch) > 0; batch = u.take() {
		if !u.record(ctx, batch) {
			return true
		}
	}
	return false
}

// record records a batch, queues what failed again, and reports whether all succeeded.
func (u *settleQueue) record(ctx context.Context, batch []wire.SettleRequest) bool {
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
