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

// starting is a bed whose process has no configuration yet, on a clock of the
// test's.
func newStartingFixture(t *testing.T) (*fixture, *clockwork.FakeClock) {
	b, clock := newFixture(t), clockwork.NewFakeClock()
	b.upstream("desk", "d", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	b.service.table.Store(nil) // the bed's upstreams come with a view
	b.service.startup = newStartupWait(clock)
	return b, clock
}

// ask sends a call and returns where its status will come.
func (b *fixture) callAsync() <-chan int { return b.callAsyncWithin(0) }

// askWithin sends a call of a caller that waits for so long; zero: it does not say.
func (b *fixture) callAsyncWithin(wait time.Duration) <-chan int {
	status := make(chan int, 1)
	go func() {
		r, err := http.NewRequest(http.MethodGet, b.server.URL+"/reserve/deep/x", nil)
		if err != nil {
			b.t.Error(err)
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

// TestCallWaitsForTheFirstConfiguration sends a call to a process that has just
// started: it is served as soon as there is a configuration.
func TestCallWaitsForTheFirstConfiguration(t *testing.T) {
	b, clock := newStartingFixture(t)
	status := b.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	b.service.applyView(&b.view)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
}

// TestNobodyWaitsPastTheStart lets a call wait until the time for it is over, and
// sends another one after that: both are refused as not run.
func TestNobodyWaitsPastTheStart(t *testing.T) {
	b, clock := newStartingFixture(t)
	status := b.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(maxStartupWait)
	for _, s := range []<-chan int{status, b.callAsync()} {
		if got := <-s; got != http.StatusServiceUnavailable {
			t.Fatalf("status %d", got)
		}
	}
}

// sent is how many calls have gone to upstreams of a service so far.
func sendCount(service string) int64 {
	if n, ok := sendsVar.Get(service).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// TestCallIsNotSentPastItsDeadline lets a call wait until its caller's time is over: it is refused as not run then,
// and no upstream is asked in vain. One that has time waits on and is served.
func TestCallIsNotSentPastItsDeadline(t *testing.T) {
	const short = 300 * time.Millisecond
	b, clock := newStartingFixture(t)
	first, second := b.callAsyncWithin(short), b.callAsync()
	if err := clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	before := sendCount("desk")
	b.service.table.Store(newTable(&b.view, nil, nil)) // it comes with the caller's last moment
	clock.Advance(short)
	if got := <-first; got != http.StatusServiceUnavailable {
		t.Errorf("status %d at the deadline", got)
	}
	b.service.applyView(&b.view)
	if got := <-second; got != http.StatusOK {
		t.Errorf("status %d with time left", got)
	}
	if got := sendCount("desk") - before; got != 1 {
		t.Errorf("%d sends, want 1", got)
	}
}

// TestWaitingCallsAreBounded fills the places for calls that wait: the next one
// does not wait.
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
	f.wait(left, 0) // a caller that has left does not wait either
}
