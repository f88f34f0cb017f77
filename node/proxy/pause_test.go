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

// asksForPause turns calls away and asks for a pause.
func asksForPause(seconds string, arrived *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestPausedUpstreamIsNotTried has one upstream of three ask for a pause: it gets nothing more, also where the owner of the
// stages chose it. Once all have asked, callers hear of the least pause at once and no repeat is counted.
func TestPausedUpstreamIsNotTried(t *testing.T) {
	b := newBed(t)
	var paused, served atomic.Int32
	var all atomic.Bool
	b.upstream("llm", "i-1", asksForPause("3600", &paused))
	for _, id := range []string{"i-2", "i-3"} {
		b.upstream("llm", id, func(w http.ResponseWriter, r *http.Request) {
			if all.Load() {
				asksForPause(map[string]string{"i-2": "600.5", "i-3": "900"}[id], &served)(w, r)
				return
			}
			served.Add(1)
		})
	}
	b.stages.engine = "i-1"
	send := func() *http.Response {
		t.Helper()
		resp, _, err := b.send(http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Pieces": "1"})
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
		t.Fatalf("the one that asked for a pause got %d calls, the others served %d", paused.Load(), served.Load())
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
		t.Fatalf("got %d and %d calls", paused.Load(), served.Load()-10)
	}
	if jobs := len(b.stages.jobs); jobs != 11 {
		t.Fatalf("the stages of %d calls were made, of 11 that could be served or were not known to be hopeless", jobs)
	}
}

// TestUpstreamThatSpokeMeanwhile asks for a pause while a call is on its way to it.
func TestUpstreamThatSpokeMeanwhile(t *testing.T) {
	b := newBed(t)
	var arrived atomic.Int32
	b.upstream("desk", "i-1", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	start := b.view.Announced["desk"][0].Start()
	m, ok := b.service.endpoints.take(b.view.Announced["desk"], choice{}, time.Now())
	if !ok || m.Start() != start {
		t.Fatal(m, ok)
	}
	b.service.notices.Heard(start, upstream.Answer{Leaving: true})
	_, err := b.service.pool.Do(t.Context(), &upstream.Request{Upstream: start, Address: m.Direct, Method: http.MethodGet, Target: "/confirm/1", Host: "desk.example", Header: http.Header{}})
	if v := verdict.From(err); err == nil || v.Verdict != verdict.NotRun || v.Code != verdict.CodeUpstreamLeaving || arrived.Load() != 0 {
		t.Fatalf("%v, %d arrived", err, arrived.Load())
	}
	if resp, body, err := b.send(http.MethodPost, "/confirm/1", nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp, body, err)
	}
}
