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

// reports collects what a process reports.
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

// await returns all reports once they hold n crashes and answers.
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

// reporting lets the bed's process report to the returned list.
func (b *bed) reporting() *reports {
	r := &reports{}
	b.service.reporter = quarantine.NewReporter(r.take)
	ctx, cancel := context.WithCancel(context.Background())
	b.t.Cleanup(cancel)
	go b.service.reporter.Run(ctx)
	return r
}

// fragile adds an upstream that answers by h, which may end the upstream's process.
func (b *bed) fragile(id string, h func(w http.ResponseWriter, r *http.Request, end func())) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		h(w, r, func() {
			srv.Listener.Close()
			panic(http.ErrAbortHandler) // closes the connection
		})
	}))
	b.t.Cleanup(srv.Close)
	b.announce("desk", append(b.view.Announced["desk"], wire.Member{ID: wire.MemberID(id), Incarnation: 3, Service: "desk", Direct: srv.Listener.Addr().String()}))
}

func endsAlways(_ http.ResponseWriter, _ *http.Request, end func()) { end() }

func (b *bed) bar(sketch wire.CallSummary, revision uint64, barred bool) {
	b.view.Suspects = wire.Suspects{Revision: revision, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: barred}}}
	b.announce("desk", b.view.Announced["desk"])
}

// TestEndsAreReported tells an upstream that ends under a call from one that merely cuts an answer, and a call that was
// answered before from one that was not.
func TestEndsAreReported(t *testing.T) {
	b := newBed(t)
	r := b.reporting()
	b.upstream("desk", "i-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if resp, body, err := b.send(http.MethodPost, "/confirm/cut", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	b.announce("desk", nil)
	b.fragile("i-2", endsAlways)
	if resp, body, err := b.send(http.MethodPost, "/confirm/fatal", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	crashes, answered := r.await(t, 1)
	if len(crashes) != 1 || len(answered) != 0 || crashes[0].Upstream != (wire.Start{ID: "i-2", Incarnation: 3}) || crashes[0].Calls[0].Route != "confirm" || crashes[0].Calls[0].Customer != "foundry" {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
	b.announce("desk", nil)
	var ends atomic.Bool
	b.fragile("i-3", func(_ http.ResponseWriter, _ *http.Request, end func()) {
		if ends.Load() {
			end()
		}
	})
	for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
		if resp, body, err := b.send(http.MethodPost, "/confirm/innocent", nil); err != nil || resp.StatusCode != status {
			t.Fatal(resp, body, err)
		}
		ends.Store(true)
	}
	if crashes, answered = r.await(t, 2); len(crashes) != 1 || len(answered) != 1 {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
}

// TestBarredCallReachesNoUpstream bars a call before it comes and while its stages are made. It is refused as not run at once,
// with no invitation to come back soon; the same body of another path is served.
func TestBarredCallReachesNoUpstream(t *testing.T) {
	b := newBed(t)
	var arrived atomic.Int32
	b.upstream("llm", "i-1", func(w http.ResponseWriter, r *http.Request) { arrived.Add(1) })
	call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/quote/1", Body: []byte("body")}
	expect := func(path string, status int) {
		t.Helper()
		resp, body, err := b.send(http.MethodPost, path, map[string]string{"Caperdrum-Pieces": "1"})
		if err != nil || resp.StatusCode != status {
			t.Fatal(resp, body, err)
		}
		if after := resp.Header.Get("Retry-After"); status == http.StatusServiceUnavailable && after != "60.00" {
			t.Fatalf("told to come back after %q: %s", after, body)
		}
	}
	sketch := call.Sketch("quote")
	barred := wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: sketch.Fingerprint, Shape: sketch.Shape, Barred: true}}}
	b.stages.before = func() { b.service.guard.Follow(barred) }
	expect("/quote/1", http.StatusServiceUnavailable)
	made := len(b.stages.jobs)
	expect("/quote/1", http.StatusServiceUnavailable)
	if n := arrived.Load(); n != 0 || len(b.stages.jobs) != made {
		t.Fatalf("%d arrived, stages of %d", n, len(b.stages.jobs)-made)
	}
	expect("/quote/2", http.StatusOK)
}

// TestCallIsEndedWhenItIsBarred has a call wait at its upstream while it is barred.
func TestCallIsEndedWhenItIsBarred(t *testing.T) {
	b := newBed(t)
	left := make(chan struct{})
	b.upstream("desk", "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/confirm/1" {
			io.Copy(io.Discard, r.Body) // a server notices that its caller left once it has read all
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/confirm/1", Body: []byte("body")}
			b.bar(call.Sketch("confirm"), 1, true)
			<-r.Context().Done()
			close(left)
		}
	})
	if resp, body, err := b.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, body, err)
	}
	<-left
	if resp, body, err := b.send(http.MethodPost, "/confirm/2", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, body, err)
	}
}

// TestStreamThatIsAnsweredGoesOn bars a call while its stream is under way.
func TestStreamThatIsAnsweredGoesOn(t *testing.T) {
	b := newBed(t)
	b.upstream("llm", "i-1", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		for b.service.running.answering() == 0 {
			time.Sleep(time.Millisecond)
		}
		call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/quote/1", Body: []byte("body")}
		b.service.guard.Follow(wire.Suspects{Revision: 1, List: []wire.Suspect{{Fingerprint: call.Fingerprint(), Shape: call.Shape(), Barred: true}}})
		b.service.running.endBarred()
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond): // a call that is ended closes its connection before
			io.WriteString(w, "id: 2\ndata: b\n\n")
		}
	})
	resp, body, err := b.send(http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Pieces": "1"})
	if err != nil || resp.StatusCode != http.StatusOK || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatal(resp, body, err)
	}
}

// answering counts the calls that an upstream has begun to answer.
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

// TestSuspectThatMeetsAnotherUpstream has the address of an upstream be another's: a suspect is refused as not run, others go on.
func TestSuspectThatMeetsAnotherUpstream(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		b := newBed(t)
		var arrived atomic.Int32
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			b.upstream("desk", id, func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
		}
		if suspect {
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/reserve/1", Body: []byte("body")}
			b.bar(call.Sketch("reserve"), 1, false)
		}
		if resp, body, err := b.send(http.MethodPost, "/reserve/1", nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatal(resp, body, err)
		}
		if want := map[bool]int32{false: 3, true: 1}[suspect]; arrived.Load() != want {
			t.Errorf("suspect %v: %d arrived, want %d", suspect, arrived.Load(), want)
		}
	}
}

// TestSuspectIsNotRepeated ends an upstream under a call that may be repeated: it is, unless it is a suspect.
func TestSuspectIsNotRepeated(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		b := newBed(t)
		var ended atomic.Int32
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			b.fragile(id, func(w http.ResponseWriter, r *http.Request, end func()) {
				ended.Add(1)
				end()
			})
		}
		if suspect {
			call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/reserve/1", Body: []byte("body")}
			b.bar(call.Sketch("reserve"), 1, false)
		}
		if resp, body, err := b.send(http.MethodPost, "/reserve/1", nil); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatal(resp, body, err)
		}
		if want := map[bool]int32{false: 2, true: 1}[suspect]; ended.Load() != want {
			t.Errorf("suspect %v: %d upstreams have ended, want %d", suspect, ended.Load(), want)
		}
	}
}

// TestAnswerClearsASuspect answers a suspect; another one of the same shape is not cleared by that.
func TestAnswerClearsASuspect(t *testing.T) {
	b := newBed(t)
	r := b.reporting()
	b.upstream("desk", "i-1", func(w http.ResponseWriter, r *http.Request) {})
	call := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/confirm/1", Body: []byte("body")}
	other := call
	other.Body = []byte("ydob")
	b.bar(other.Sketch("confirm"), 1, false)
	for i, sketch := range []wire.CallSummary{other.Sketch("confirm"), call.Sketch("confirm")} {
		b.bar(sketch, uint64(i+1), false)
		if resp, body, err := b.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, body, err)
		}
	}
	if crashes, answered := r.await(t, 1); len(crashes) != 0 || len(answered) != 1 || answered[0] != call.Sketch("confirm") {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
}
