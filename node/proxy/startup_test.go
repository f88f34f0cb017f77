package proxy

import (
	"context"
	"expvar"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

// newStartingFixture returns a fixture whose process has no configuration yet, and the clock of its startup.
func newStartingFixture(t *testing.T) (*fixture, *clockwork.FakeClock) {
	f, clock := newFixture(t), clockwork.NewFakeClock()
	f.upstream("desk", "d", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.service.table.Store(nil) // announcing the upstream has applied a view
	f.service.startup = newStartupWait(clock)
	return f, clock
}

// callAsync sends a call and returns a channel that receives its status.
func (f *fixture) callAsync() <-chan int { return f.callAsyncWithin(0) }

// callAsyncWithin sends a call with the given timeout; zero means none.
func (f *fixture) callAsyncWithin(wait time.Duration) <-chan int {
	status := make(chan int, 1)
	go func() {
		r, err := http.NewRequest(http.MethodGet, f.server.URL+"/reserve/deep/x", nil)
		if err != nil {
			f.t.Error(err)
		}
		r.Host = "desk.example"
		if wait > 0 {
			r.Header.Set(wire.HeaderTimeout, wait.String())
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

// TestCallWaitsForTheFirstConfiguration checks that a call to a process that has just started is served as soon as there
// is a configuration.
func TestCallWaitsForTheFirstConfiguration(t *testing.T) {
	f, clock := newStartingFixture(t)
	status := f.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.service.applyView(&f.view)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
}

// TestStartupWaitIsBounded checks that a call that waited for maxStartupWait, and one that comes later, are
// refused as not run.
func TestStartupWaitIsBounded(t *testing.T) {
	f, clock := newStartingFixture(t)
	status := f.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(maxStartupWait)
	for _, s := range []<-chan int{status, f.callAsync()} {
		if got := <-s; got != http.StatusServiceUnavailable {
			t.Fatalf("status %d", got)
		}
	}
}

// sendCount returns the number of calls sent to upstreams of the service so far.
func sendCount(service string) int64 {
	if n, ok := sendsVar.Get(service).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// TestCallIsNotSentPastItsDeadline checks that a call whose timeout ends while it waits is refused as not run and not
// sent, and that one with time left is served.
func TestCallIsNotSentPastItsDeadline(t *testing.T) {
	const short = 300 * time.Millisecond
	f, clock := newStartingFixture(t)
	first, second := f.callAsyncWithin(short), f.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	before := sendCount("desk")
	f.service.table.Store(newTable(&f.view, nil, nil)) // the configuration arrives at the last moment
	clock.Advance(short)
	if got := <-first; got != http.StatusServiceUnavailable {
		t.Errorf("status %d at the deadline", got)
	}
	f.service.applyView(&f.view)
	if got := <-second; got != http.StatusOK {
		t.Errorf("status %d with time left", got)
	}
	if got := sendCount("desk") - before; got != 1 {
		t.Errorf("%d sends, want 1", got)
	}
}

// TestWaitingCallsAreBounded checks that a call does not wait when maxWaitingCalls others do.
func TestWaitingCallsAreBounded(t *testing.T) {
	f := newStartupWait(clockwork.NewFakeClock())
	f.waiting.Store(maxWaitingCalls)
	f.wait(context.Background(), 0)
	if got := f.waiting.Load(); got != maxWaitingCalls {
		t.Fatalf("%d wait", got)
	}
	f.waiting.Store(0)
	left, leave := context.WithTimeout(context.Background(), time.Nanosecond)
	defer leave()
	f.wait(left, 0) // must return: the caller has left
}
