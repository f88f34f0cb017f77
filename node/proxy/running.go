package proxy

import (
	"context"
	"sync"

	"caperdrum.org/api/verdict"
)

// running is the set of calls in progress.
type running struct {
	mu    sync.Mutex
	calls map[*exchange]context.CancelCauseFunc
}

func newRunning() *running { return &running{calls: map[*exchange]context.CancelCauseFunc{}} }

// add adds a call. It returns a context that is cancelled when the call is barred, and a function that removes the call.
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

// cancelBarred cancels the calls that are now barred, so that those still queued at their upstream do not crash it. A call
// that is being answered already runs and is left alone.
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

// barredCause returns the error with which the call was cancelled as barred, or nil.
func barredCause(ctx context.Context) *verdict.Error {
	err, _ := context.Cause(ctx).(*verdict.Error)
	return err
}
