package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// refuseWithPause refuses calls and asks for a pause.
func refuseWithPause(seconds string, arrived *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestPausedUpstreamIsNotTried has one of three upstreams ask for a pause. It must get no further call, even if the
// stage owner chooses it. Once all have asked, callers are told the shortest pause at once and no repeat is counted.
func TestPausedUpstreamIsNotTried(t *testing.T) {
	f := newFixture(t)
	var paused, served atomic.Int32
	var all atomic.Bool
	f.upstream("llm", "i-1", refuseWithPause("3600", &paused))
	for _, id := range []string{"i-2", "i-3"} {
		f.upstream("llm", id, func(w http.ResponseWriter, r *http.Request) {
			if all.Load() {
				refuseWithPause(map[string]string{"i-2": "600.5", "i-3": "900"}[id], &served)(w, r)
				return
			}
			served.Add(1)
		})
	}
	f.stages.engine = "i-1"
	send := func() *http.Response {
		t.Helper()
		resp, _, err := f.send(http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Pieces": "1"})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	for range 10 {
		if resp := send(); resp.StatusCode != http.StatusOK {
			t.Fatal(resp)
		}
	}
	if paused.Load() != 1 || served.Load() != 10 {
		t.Fatalf("the paused upstream got %d calls, the others served %d", paused.Load(), served.Load())
	}
	all.Store(true)
	for i := range 5 {
		resp := send()
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || i > 0 && (after < 500 || after > 601) {
			t.Fatalf("call %d: %d, after %v", i, resp.StatusCode, resp.Header["Retry-After"])
		}
	}
	if paused.Load() != 1 || served.Load() != 12 {
		t.Fatalf("the paused upstream got %d calls, the others %d after they asked for a pause", paused.Load(), served.Load()-10)
	}
	if jobs := len(f.stages.jobs); jobs != 11 {
		t.Fatalf("the stages of %d calls ran, want 11: those of the calls that were served, and of the one sent before all upstreams had paused", jobs)
	}
}

// TestUpstreamThatLeavesAfterSelectionGetsNoCall has an upstream announce that it leaves after it was selected
// for a call.
func TestUpstreamThatLeavesAfterSelectionGetsNoCall(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("desk", "i-1", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	start := f.view.Announced["desk"][0].Start()
	m, _, ok := f.service.endpoints.acquire(f.view.Announced["desk"], criteria{}, time.Now())
	if !ok || m.Start() != start {
		t.Fatal(m, ok)
	}
	f.service.notices.Record(start, upstream.ResponseInfo{Leaving: true})
	_, err := f.service.pool.Do(t.Context(), &upstream.Request{Upstream: start, Address: m.Direct, Method: http.MethodGet, Target: "/confirm/1", Host: "desk.example", Header: http.Header{}})
	if v := verdict.From(err); err == nil || v.Verdict != verdict.NotRun || v.Code != verdict.CodeUpstreamLeaving || arrived.Load() != 0 {
		t.Fatalf("%v, %d arrived", err, arrived.Load())
	}
	if resp, body, err := f.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp, body, err)
	}
}
