package proxy

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/stagework"
)

// limited is a handler that counts calls and names a request limit of one a second.
func limited(arrived *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Caperdrum-Request-Limit", "1")
	}
}

// TestLimitedUpstreamGetsPermittedCallsOnly has one of two upstreams name a request limit. It gets one call for each
// permit, even if the stage owner chooses it for all calls, and the other upstream gets the rest. After a
// denial no further permit is asked for.
func TestLimitedUpstreamGetsPermittedCallsOnly(t *testing.T) {
	f := newFixture(t)
	var atLimited, atOther atomic.Int32
	f.upstream("llm", "i-1", limited(&atLimited))
	f.upstream("llm", "i-2", func(http.ResponseWriter, *http.Request) { atOther.Add(1) })
	f.stages.engine = "i-1"
	f.stages.permits = []stagework.PermitReply{{Upstream: f.view.Announced["llm"][0].Start()}, {Wait: time.Hour, RetryAfter: time.Second}}
	for range 10 {
		if resp, _, err := f.send(http.MethodPost, "/chat/1", map[string]string{"Caperdrum-Prompt-Parts": "a:10"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	if atLimited.Load() != 2 || atOther.Load() != 8 {
		t.Fatalf("the limited upstream got %d calls, the other one %d; want 2, by which this process was told and with a permit, and 8", atLimited.Load(), atOther.Load())
	}
	if len(f.stages.asked) != 2 {
		t.Fatalf("%d permits were asked for: %v", len(f.stages.asked), f.stages.asked)
	}
}

// TestPermittedEngineNeedsNoFurtherPermit has the stage owner choose a limited engine within its limit.
func TestPermittedEngineNeedsNoFurtherPermit(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("llm", "i-1", limited(&arrived))
	f.stages.engine, f.stages.permitted = "i-1", true
	for range 5 {
		if resp, _, err := f.send(http.MethodPost, "/chat/1", map[string]string{"Caperdrum-Prompt-Parts": "a:10"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	if len(f.stages.asked) != 0 {
		t.Fatalf("permits were asked for: %v", f.stages.asked)
	}
}

// TestCallersAreRefusedWhenLimitsAdmitNone has all upstreams of a service name a limit that admits no call: callers
// are refused at once as not run, with the stage owner's Retry-After.
func TestCallersAreRefusedWhenLimitsAdmitNone(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("desk", "i-1", limited(&arrived))
	f.upstream("desk", "i-2", limited(&arrived))
	f.stages.permits = []stagework.PermitReply{{Wait: time.Hour, RetryAfter: 7 * time.Second}}
	for i := range 10 {
		resp, _, err := f.send(http.MethodPost, "/confirm/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		if after := resp.Header.Get("Retry-After"); i >= 2 && (resp.StatusCode != http.StatusServiceUnavailable || after != "7.00") {
			t.Fatalf("call %d: status %d, Retry-After %q", i, resp.StatusCode, after)
		}
	}
	if arrived.Load() != 2 {
		t.Fatalf("%d calls arrived, want one at each upstream", arrived.Load())
	}
	if asked := slices.Concat(f.stages.asked...); len(asked) != 2 || asked[0] == asked[1] {
		t.Fatalf("permits were asked for %v, want once for each upstream", f.stages.asked)
	}
	if n := f.service.endpoints.takeRefused("desk"); n != 8 {
		t.Fatalf("%d refused callers are counted, want 8", n)
	}
}

// TestEndedLimitNeedsNoPermit has an upstream end its limit: the denial before no longer counts.
func TestEndedLimitNeedsNoPermit(t *testing.T) {
	f := newFixture(t)
	var named atomic.Bool
	named.Store(true)
	f.upstream("desk", "i-1", func(w http.ResponseWriter, _ *http.Request) {
		if named.Load() {
			w.Header().Set("Caperdrum-Request-Limit", "1")
		}
	})
	status := func() int {
		t.Helper()
		resp, _, err := f.send(http.MethodPost, "/confirm/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	f.stages.permits = []stagework.PermitReply{{Upstream: wire.Start{ID: "i-1", Incarnation: f.view.Announced["desk"][0].Incarnation}}, {Wait: time.Hour}}
	if status() != http.StatusOK { // names the limit
		t.Fatal("refused before the limit")
	}
	named.Store(false)
	for i := range 5 { // the first one with the permit
		if got := status(); got != http.StatusOK {
			t.Fatalf("call %d after the end of the limit: %d", i, got)
		}
	}
	if len(f.stages.asked) != 1 {
		t.Fatalf("%d permits were asked for", len(f.stages.asked))
	}
}

// TestCallerThatLeavesDeniesNoPermits guards against the following failure: a caller left while a permit was asked
// for, and all other callers of the process were denied one for a while.
func TestCallerThatLeavesDeniesNoPermits(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("desk", "i-1", limited(&arrived))
	list := f.view.Announced["desk"]
	left, leave := context.WithCancel(t.Context())
	x := &exchange{s: f.service, service: &optext.Service{Name: "desk"}}
	leave()
	x.requestPermit(left, list)
	if _, denied := f.service.endpoints.denials.Denied(time.Now(), list[0].Start()); denied {
		t.Fatal("denied for a caller that has left")
	}
	x.requestPermit(t.Context(), list)
	if _, denied := f.service.endpoints.denials.Denied(time.Now(), list[0].Start()); !denied {
		t.Fatal("not denied for one that waits")
	}
}
