package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestStoppingProcessRefusesCallsThatOutlastIt guards against calls that a stopping process passes on although it ends before
// they do: they were cut, among them ones that may not be repeated.
func TestStoppingProcessRefusesCallsThatOutlastIt(t *testing.T) {
	const work = 300 * time.Millisecond
	f := newFixture(t)
	var reached atomic.Int32
	f.upstream("desk", "d1", func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		time.Sleep(work)
		answerOK(w, r)
	})
	for range 3 {
		f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/x", nil)
	}
	f.service.set.Node.DrainTimeout = work + finalResponseTime/2
	f.service.BeginStop()
	f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/confirm/x", nil)
	if n := reached.Load(); n != 3 {
		t.Fatalf("%d calls reached the upstream, 3 before the stop", n)
	}
}

// TestCallsAreTakenByWhatIsLeftOfTheGrace guards against calls that are passed on, or whose stages are run, by a process that ends
// before them, and against refusals of those for which there is time: plain ones, streams, and streams with stages.
func TestCallsAreTakenByWhatIsLeftOfTheGrace(t *testing.T) {
	const expected = 1900 * time.Millisecond
	for _, c := range []struct {
		name    string
		drain   time.Duration
		status  int
		reaches bool
	}{{"grace of 8 s", 7600 * time.Millisecond, http.StatusOK, true}, {"grace of 2 s", 1600 * time.Millisecond, http.StatusServiceUnavailable, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			var reached atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Write([]byte("data: x\n\n"))
			}
			f.upstream("desk", "d1", answer)
			f.upstream("llm", "l1", answer)
			f.upstream("trace", "t1", answer)
			for _, route := range []string{"confirm", "chat", "quote"} {
				f.service.callTimes.Record(route, expected)
			}
			f.service.set.Node.DrainTimeout = c.drain
			f.service.BeginStop()
			for _, path := range []string{"/confirm/x", "/chat/x", "/quote/x"} {
				f.wantStatus(c.status, http.MethodPost, path, map[string]string{"Caperdrum-Pieces": "1"})
			}
			if got := reached.Load() > 0; got != c.reaches {
				t.Errorf("calls reached their upstreams: %v", got)
			}
			if got := len(f.stages.jobs) > 0; got != c.reaches {
				t.Errorf("stages were run: %v", got)
			}
		})
	}
}

// TestStoppingProcessTakesCallsThatEnd guards against a stop that refuses calls for which there is time.
func TestStoppingProcessTakesCallsThatEnd(t *testing.T) {
	f := newFixture(t)
	f.upstream("desk", "d1", answerOK)
	f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/x", nil)
	f.service.set.Node.DrainTimeout = time.Hour
	f.service.BeginStop()
	f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/x", nil)
}

// TestStoppingProcessDoesNotRepeatWhatOutlastsIt guards against repeats that a stopping process cannot finish.
func TestStoppingProcessDoesNotRepeatWhatOutlastsIt(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) {
		if reached.Add(1) == 1 {
			f.service.callTimes.Record("reserve", time.Minute)
			f.service.BeginStop()
		}
		refuseNotRun(w, r)
	}
	f.service.set.Node.DrainTimeout = time.Second
	f.upstream("desk", "d1", fail)
	f.upstream("desk", "d2", fail)
	f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/reserve/x", nil)
	if n := reached.Load(); n != 1 {
		t.Fatalf("%d attempts", n)
	}
}

// TestCallsAreTakenForAPartOfTheGrace guards against a stopping process that takes calls for a constant time, whatever is left
// for them to end.
func TestCallsAreTakenForAPartOfTheGrace(t *testing.T) {
	f := newFixture(t)
	f.service.set.Proxy.Rotation = 2500 * time.Millisecond
	for drain, want := range map[time.Duration]time.Duration{7600 * time.Millisecond: 2500 * time.Millisecond, 3600 * time.Millisecond: 1800 * time.Millisecond, 0: 0} {
		f.service.set.Node.DrainTimeout = drain
		if got := f.service.rotation(); got != want {
			t.Errorf("%s of %s, want %s", got, drain, want)
		}
	}
}
