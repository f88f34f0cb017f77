package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/upstream"
)

// heldCalls is a fixture whose upstream holds each call until a value is sent to release.
type heldCalls struct {
	*fixture
	arrived, release chan struct{}
	wg               sync.WaitGroup
}

func newHeldCalls(t *testing.T, maxConnections int) *heldCalls {
	h := &heldCalls{fixture: newFixture(t), arrived: make(chan struct{}, 100), release: make(chan struct{}, 100)}
	h.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) {
		h.arrived <- struct{}{}
		<-h.release
		fmt.Fprint(w, "id: 1\n\n")
	})
	t.Cleanup(func() { close(h.release) }) // before the upstream closes, which waits for its calls
	h.view.Config.Services["llm"].MaxConnections = maxConnections
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Timeout, h.view.Config.Routes[i].Goal = time.Hour, time.Hour
	}
	return h
}

// call sends a call in the background; its status and body arrive at the returned channel.
func (h *heldCalls) call() <-chan string {
	out := make(chan string, 1)
	h.wg.Go(func() {
		resp, body, err := h.send(http.MethodPost, "/chat/", nil)
		if err != nil {
			out <- err.Error()
			return
		}
		out <- fmt.Sprint(resp.StatusCode, " ", body)
	})
	return out
}

// answer returns what a call got. It fails if the call is still held.
func (h *heldCalls) answer(c <-chan string) string {
	h.t.Helper()
	select {
	case got := <-c:
		return got
	case <-time.After(10 * time.Second):
		h.t.Fatal("the call is still held")
		return ""
	}
}

// releaseAll ends two calls in flight and then the one that waits for a connection, and checks that all are served.
func (h *heldCalls) releaseAll(calls []<-chan string) {
	h.t.Helper()
	h.release <- struct{}{}
	<-h.arrived
	h.release <- struct{}{}
	h.release <- struct{}{}
	for _, c := range calls {
		if got := h.answer(c); !strings.HasPrefix(got, "200") {
			h.t.Errorf("got %s", got)
		}
	}
	h.wg.Wait()
}

func (h *heldCalls) waiting() int {
	e := h.service.endpoints
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue("llm").waiting)
}

func (h *heldCalls) awaitWaiting(n int) {
	h.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); h.waiting() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("%d calls wait, want %d", h.waiting(), n)
		}
	}
}

// TestCallsWaitForAConnection guards against calls that are refused because the few connections that a process may have to
// the upstreams of a service are in use for some milliseconds more.
func TestCallsWaitForAConnection(t *testing.T) {
	h := newHeldCalls(t, 4) // two for one process of one
	first := []<-chan string{h.call(), h.call()}
	<-h.arrived
	<-h.arrived
	second := h.call()
	h.awaitWaiting(1)
	third := h.answer(h.call()) // as many wait as are served within half of a call
	if !strings.HasPrefix(third, "503") || !strings.Contains(third, "2 to each, 4 in all over 1 processes") {
		t.Errorf("a call that finds too many waiting: %s", third)
	}
	h.releaseAll(append(first, second))
	if n := h.service.endpoints.queue("llm").inUse; n != 0 {
		t.Errorf("%d calls count as in flight after all have ended", n)
	}
}

// TestWaitForAConnectionFollowsTheCallersTime guards against calls that are refused after half of the route's goal although
// their callers have time: the connection is released after ten goals.
func TestWaitForAConnectionFollowsTheCallersTime(t *testing.T) {
	h := newHeldCalls(t, 4)
	h.service.repeats = retry.NewQuota(retry.Limit{Window: time.Second}, clockwork.NewRealClock(), h.service.peers) // none
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Goal = 2 * time.Millisecond
	}
	first := []<-chan string{h.call(), h.call()}
	<-h.arrived
	<-h.arrived
	second := h.call()
	h.awaitWaiting(1)
	time.Sleep(20 * time.Millisecond)
	h.releaseAll(append(first, second))
}

// TestWaitForAConnectionEnds guards against calls that wait for a connection until their deadlines, and against a turn that
// is lost with the call whose turn it was.
func TestWaitForAConnectionEnds(t *testing.T) {
	h := newHeldCalls(t, 4)
	first := []<-chan string{h.call(), h.call()}
	<-h.arrived
	<-h.arrived
	config := *h.view.Config
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = 200 * time.Millisecond
	}
	h.view.Config, h.view.Version = &config, h.view.Version+1
	next := h.view
	h.service.applyView(&next)
	if got := h.answer(h.call()); !strings.HasPrefix(got, "503") {
		t.Errorf("got %s", got)
	}
	if h.waiting() != 0 {
		t.Error("the refused call still waits")
	}
	h.release <- struct{}{}
	h.release <- struct{}{}
	for _, c := range first {
		if got := h.answer(c); !strings.HasPrefix(got, "200") {
			t.Errorf("got %s", got)
		}
	}
	h.wg.Wait()

	q := &connectionQueue{inUse: 10}
	a := q.join(false)
	q.release()
	if !isClosedChannel(a) {
		t.Error("the only call has its turn at the release")
	}
	b, again := q.join(false), q.join(true)
	q.release()
	if !isClosedChannel(again) || isClosedChannel(b) {
		t.Error("a call that has waited before goes first")
	}
	q.leave(again) // it gave up in the instant of its turn
	if !isClosedChannel(b) {
		t.Error("the turn of a call that gave up is lost")
	}
	q.leave(q.join(false))
	if len(q.waiting) != 0 {
		t.Errorf("%d calls wait", len(q.waiting))
	}
}

// TestConnectionWaitIsHalfOfTheCallersTime guards against calls that wait for a connection until their callers have no time
// left for another process.
func TestConnectionWaitIsHalfOfTheCallersTime(t *testing.T) {
	for _, c := range []struct{ left, waited, want time.Duration }{
		{2 * time.Second, 0, time.Second},
		{1500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		{900 * time.Millisecond, 1100 * time.Millisecond, -100 * time.Millisecond},
		{40 * time.Millisecond, 0, 10 * time.Millisecond},
	} {
		if got := connectionWait(c.left, c.waited); got != c.want {
			t.Errorf("%s left, waited %s: %s, want %s", c.left, c.waited, got, c.want)
		}
	}
}

func isClosedChannel(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// deskList is two upstreams of a service, of which this process may have one connection each.
func deskList() ([]wire.Member, criteria) {
	return []wire.Member{wire.AnnouncedUpstream("u1", "desk", "10.0.0.1:80", "dc", false), wire.AnnouncedUpstream("u2", "desk", "10.0.0.2:80", "dc", false)}, criteria{dataCenter: "dc", maxCalls: 1}
}

// TestReleaseBeforeTheWaitIsNoticed guards against a call that waits for a connection although all were released between
// its attempt to get one and its wait.
func TestReleaseBeforeTheWaitIsNoticed(t *testing.T) {
	e, now := newEndpoints(noNotices()), time.Unix(1000, 0)
	list, c := deskList()
	a, _, _ := e.acquire(list, c, now)
	b, _, _ := e.acquire(list, c, now)
	if m, _, found := e.acquire(list, c, now); found {
		t.Fatalf("%s has two calls", m.ID)
	}
	e.release(a.Start(), callAnswered, now)
	e.release(b.Start(), callAnswered, now)
	if turn, short := e.joinQueue("desk", list, c, false, now); !short || !isClosedChannel(turn) {
		t.Errorf("short %v, the call waits for a release that has happened", short)
	}
	if n := len(e.queue("desk").waiting); n != 0 {
		t.Errorf("%d calls wait", n)
	}
}

// TestTurnIsPassedOn guards against a call that waits while a connection is free, behind one that cannot use it.
func TestTurnIsPassedOn(t *testing.T) {
	e, now := newEndpoints(noNotices()), time.Unix(1000, 0)
	list, c := deskList()
	e.acquire(list[:1], c, now)
	e.acquire(list[1:], c, now)
	e.queue("desk").inUse += 10 // of other upstreams, so that several may wait
	first, _ := e.joinQueue("desk", list[:1], c, false, now)
	second, _ := e.joinQueue("desk", list[1:], c, false, now)
	third, _ := e.joinQueue("desk", list[:1], c, false, now)
	e.release(list[1].Start(), callAnswered, now)
	if !isClosedChannel(first) || isClosedChannel(second) {
		t.Fatal("the first call has its turn first")
	}
	again, _ := e.joinQueue("desk", list[:1], c, true, now)
	if isClosedChannel(again) || !isClosedChannel(second) || isClosedChannel(third) {
		t.Error("the turn is not passed on to the next call")
	}
	if _, _, found := e.acquire(list[1:], c, now); !found {
		t.Error("the next call cannot use the connection")
	}
	e.release(list[0].Start(), callAnswered, now)
	if !isClosedChannel(again) || isClosedChannel(third) {
		t.Error("the call that passed its turn on is still the first")
	}
}

// TestMissingPermitIsNoLackOfConnections guards against calls that wait for a connection, and are told that there is none,
// although what they lack is a permit.
func TestMissingPermitIsNoLackOfConnections(t *testing.T) {
	notices, now := noNotices(), time.Now()
	e := newEndpoints(notices)
	list, c := deskList()
	notices.UpdateMembers(memberset.Of(list...))
	notices.Record(list[0].Start(), upstream.ResponseInfo{Limit: upstream.RequestLimit{Statement: upstream.LimitNamed, PerSecond: 1}})
	if _, needsPermit, _ := e.acquire(list[:1], c, now); !needsPermit {
		t.Fatal("the upstream does not limit its requests")
	}
	if _, short := e.joinQueue("desk", list[:1], c, false, now); short {
		t.Error("the call waits for a connection")
	}
}
