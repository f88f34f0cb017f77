package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
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
	h.release <- struct{}{}
	<-h.arrived
	h.release <- struct{}{}
	h.release <- struct{}{}
	for _, c := range append(first, second) {
		if got := h.answer(c); !strings.HasPrefix(got, "200") {
			t.Errorf("got %s", got)
		}
	}
	h.wg.Wait()
	if n := h.service.endpoints.queue("llm").inUse; n != 0 {
		t.Errorf("%d calls count as in flight after all have ended", n)
	}
}

// TestWaitForAConnectionEnds guards against calls that wait for a connection until their deadlines, and against a turn that
// is lost with the call whose turn it was.
func TestWaitForAConnectionEnds(t *testing.T) {
	h := newHeldCalls(t, 4)
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Goal = 40 * time.Millisecond
	}
	first := []<-chan string{h.call(), h.call()}
	<-h.arrived
	<-h.arrived
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
	a, b, c := q.join(false), q.join(false), q.join(true)
	q.release()
	if !isClosedChannel(c) || isClosedChannel(a) {
		t.Error("a call that has waited before goes first")
	}
	q.leave(c) // it gave up in the instant of its turn
	if !isClosedChannel(a) {
		t.Error("the turn of a call that gave up is lost")
	}
	q.leave(b)
	if len(q.waiting) != 0 {
		t.Errorf("%d calls wait", len(q.waiting))
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
