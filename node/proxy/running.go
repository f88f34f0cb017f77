package proxy

import (
	"context"
	"sync"

	"caperdrum.org/api/verdict"
)

// running are the calls that are under way.
type running struct {
	mu    sync.Mutex
	calls map[*exchange]context.CancelCauseFunc
}

func newRunning() *running { return &running{calls: map[*exchange]context.CancelCauseFunc{}} }

// add returns a context that ends when the call is barred, and the function that takes the call
// out again.
func (r *running) add(ctx context.Context, x *exchange) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	r.calls[x] = cancel
	r.mu.Unlock()
	return ctx, func() {
		r.mu.Lock()
		delete(r.calls, x)
		r.mu.Unlock()
		cancel(nil)
	}
}

// endBarred ends the calls that are barred by now: one that still waits at its upstream does not
// end it then. One that is being answered runs already.
func (r *running) cancelBarred() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x, cancel := range r.calls {
		if x.answering.Load() {
			continue
		}
		if err := x.checkBarred(); err != nil {
			cancel(err)
		}
	}
}

// barredMeanwhile returns why the call was ended because it was barred, or nil.
func barredCause(ctx context.Context) *verdict.Error {
	err, _ := context.Cause(ctx).(*verdict.Error)
	return err
}
