package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
)

// reports collects the crash reports of a process.
type reports struct {
	mu   sync.Mutex
	list []*wire.CrashReport
}

func (r *reports) take(_ context.Context, report *wire.CrashReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, report)
	return nil
}

// await waits for n crashes and answers in total, and returns them.
func (r *reports) await(t *testing.T, n int) (crashes []wire.Crash, answered []wire.CallSummary) {
	t.Helper()
	for range 400 {
		r.mu.Lock()
		crashes, answered = nil, nil
		for _, report := range r.list {
			crashes, answered = append(crashes, report.Crashes...), append(answered, report.Answered...)
		}
		r.mu.Unlock()
		if len(crashes)+len(answered) >= n {
			return crashes, answered
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d crashes and %d answers were reported, want %d", len(crashes), len(answered), n)
	return nil, nil
}

// collectReports redirects the process's crash reports to the returned list.
func (f *fixture) collectReports() *reports {
	r := &reports{}
	f.service.reporter = quarantine.NewReporter(r.take)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.service.reporter.Run(ctx)
	return r
}

// crashingUpstream announces an upstream that answers by h, which may end the upstream's process.
func (f *fixture) crashingUpstream(id string, h func(w http.ResponseWriter, r *http.Request, end func())) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		h(w, r, func() {
			srv.Listener.Close()
			panic(http.ErrAbortHandler) // closes the connection
		})
	}))
	f.t.Cleanup(srv.Close)
	f.announce("desk", append(f.view.Announced["desk"], wire.Member{ID: wire.MemberID(id), Incarnation: 3, Service: "desk", Direct: srv.Listener.Addr().String()}))
}

func alwaysCrash(_ http.ResponseWriter, _ *http.Request, end func()) { end() }

func (f *fixture) setSuspect(sketch wire.CallSummary, revision uint64, barred bool) {
	f.view.Suspects = wire.Suspects{Revision: revision, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: barred}}}
	f.announce("desk", f.view.Announced["desk"])
}

// TestCrashesAreReported checks that an upstream that crashes during a call is reported, unlike one that only breaks the
// connection, and that a call that was answered before is reported as answered.
func TestCrashesAreReported(t *testing.T) {
	f := newFixture(t)
	r := f.collectReports()
	f.upstream("desk", "i-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if resp, body, err := f.send(http.MethodPost, "/confirm/cut", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	f.announce("desk", nil)
	f.crashingUpstream("i-2", alwaysCrash)
	if resp, body, err := f.send(http.MethodPost, "/confirm/fatal", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	crashes, answered := r.await(t, 1)
	if len(crashes) != 1 || len(answered) != 0 || crashes[0].Upstream != (wire.Start{ID: "i-2", Incarnation: 3}) || crashes[0].Calls[0].Route != "confirm" || crashes[0].Calls[0].Customer != "foundry" {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
	f.announce("desk", nil)
	var ends atomic.Bool
	f.crashingUpstream("i-3", func(_ http.ResponseWriter, _ *http.Request, end func()) {
		if ends.Load() {
			end()
		}
	})
	for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
		if resp, body, err := f.send(http.MethodPost, "/confirm/innocent", nil); err != nil || resp.StatusCode != status {
			t.Fatal(resp, body, err)
		}
		ends.Store(true)
	}
	if crashes, answered = r.await(t, 2); len(crashes) != 1 || len(answered) != 1 {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
}

// TestBarredCallReachesNoUpstream bars a call while its stages run. It must be refused as not run, without a short
// Retry-After, and refused before its stages the next time. The same body with another path is served.
func TestBarredCallReachesNoUpstream(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("llm", "i-1", func(w http.ResponseWriter, r *http.Request) { arrived.Add(1) })
	call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/quote/1", Body: []byte("body")}
	expect := func(path string, status int) {
		t.Helper()
		resp, body, err := f.send(http.MethodPost, path, map[string]string{"Caperdrum-Pieces": "1"})
		if err != nil || resp.StatusCode != status {
			t.Fatal(resp, body, err)
		}
		if after := resp.Header.Get("Retry-After"); status == http.StatusServiceUnavailable && after != "60.00" {
			t.Fatalf("Retry-After is %q: %s", after, body)
		}
	}
	sketch := call.Sketch("quote")
	barred := wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: true}}}
	f.stages.before = func() { f.service.guard.Update(barred) }
	expect("/quote/1", http.StatusServiceUnavailable)
	made := len(f.stages.jobs)
	expect("/quote/1", http.StatusServiceUnavailable)
	if n := arrived.Load(); n != 0 || len(f.stages.jobs) != made {
		t.Fatalf("%d calls arrived, stages of %d ran", n, len(f.stages.jobs)-made)
	}
	expect("/quote/2", http.StatusOK)
}

// TestCallIsEndedWhenItIsBarred bars a call while it waits at its upstream.
func TestCallIsEndedWhenItIsBarred(t *testing.T) {
	f := newFixture(t)
	left := make(chan struct{})
	f.upstream("desk", "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/confirm/1" {
			io.Copy(io.Discard, r.Body) // an HTTP server notices that its client left only after it has read the body
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/confirm/1", Body: []byte("body")}
			f.setSuspect(call.Sketch("confirm"), 1, true)
			<-r.Context().Done()
			close(left)
		}
	})
	if resp, body, err := f.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	<-left
	if resp, body, err := f.send(http.MethodPost, "/confirm/2", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, body, err)
	}
}

// TestBarredStreamInProgressContinues bars a call while its stream is being answered.
func TestBarredStreamInProgressContinues(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "i-1", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		for f.service.running.answering() == 0 {
			time.Sleep(time.Millisecond)
		}
		call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/quote/1", Body: []byte("body")}
		f.service.guard.Update(wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: call.Fingerprint(), Shape: call.Shape(), Barred: true}}})
		f.service.running.cancelBarred()
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond): // a cancelled call would have closed its connection by now
			io.WriteString(w, "id: 2\ndata: b\n\n")
		}
	})
	resp, body, err := f.send(http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Pieces": "1"})
	if err != nil || resp.StatusCode != http.StatusOK || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatal(resp, body, err)
	}
}

// answering returns the number of calls that an upstream has begun to answer.
func (r *running) answering() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for x := range r.calls {
		if x.answering.Load() {
			n++
		}
	}
	return n
}

// TestMisdirectedSuspectIsNotRetried has other upstreams answer at the announced addresses: a suspect is refused as
// not run after one attempt, other calls try further upstreams.
func TestMisdirectedSuspectIsNotRetried(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		f := newFixture(t)
		var arrived atomic.Int32
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			f.upstream("desk", id, func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
		}
		if suspect {
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/reserve/1", Body: []byte("body")}
			f.setSuspect(call.Sketch("reserve"), 1, false)
		}
		if resp, body, err := f.send(http.MethodPost, "/reserve/1", nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatal(resp, body, err)
		}
		if want := map[bool]int32{false: 3, true: 1}[suspect]; arrived.Load() != want {
			t.Errorf("suspect %v: %d arrived, want %d", suspect, arrived.Load(), want)
		}
	}
}

// TestSuspectIsNotRepeated crashes upstreams during a repeatable call: it must be repeated unless it is a suspect.
func TestSuspectIsNotRepeated(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		f := newFixture(t)
		var ended atomic.Int32
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			f.crashingUpstream(id, func(w http.ResponseWriter, r *http.Request, end func()) {
				ended.Add(1)
				end()
			})
		}
		if suspect {
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/reserve/1", Body: []byte("body")}
			f.setSuspect(call.Sketch("reserve"), 1, false)
		}
		if resp, body, err := f.send(http.MethodPost, "/reserve/1", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatal(resp, body, err)
		}
		if want := map[bool]int32{false: 2, true: 1}[suspect]; ended.Load() != want {
			t.Errorf("suspect %v: %d upstreams crashed, want %d", suspect, ended.Load(), want)
		}
	}
}

// TestAnswerClearsASuspect checks that a response clears a suspect, but no other suspect of the same shape.
func TestAnswerClearsASuspect(t *testing.T) {
	f := newFixture(t)
	r := f.collectReports()
	f.upstream("desk", "i-1", func(w http.ResponseWriter, r *http.Request) {})
	call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/confirm/1", Body: []byte("body")}
	other := call
	other.Body = []byte("ydob")
	f.setSuspect(other.Sketch("confirm"), 1, false)
	for i, sketch := range []wire.CallSummary{other.Sketch("confirm"), call.Sketch("confirm")} {
		f.setSuspect(sketch, uint64(i+1), false)
		if resp, body, err := f.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, body, err)
		}
	}
	if crashes, answered := r.await(t, 1); len(crashes) != 0 || len(answered) != 1 || answered[0] != call.Sketch("confirm") {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
}
