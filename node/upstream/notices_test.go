package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

// TestParseRetryAfter parses values of the header Retry-After.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for raw, want := range map[string]time.Duration{
		"": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, "0": 0, "-3": 0, "soon": 0, "NaN": 0, "Inf": maxPause, "1e300": maxPause, "31536000": maxPause, "3, 4": 0,
		now.Add(90 * time.Second).Format(http.TimeFormat): 90 * time.Second,
		now.Add(-time.Second).Format(http.TimeFormat):     0,
	} {
		for status, expected := range map[int]time.Duration{http.StatusServiceUnavailable: want, http.StatusTooManyRequests: want, http.StatusOK: 0, http.StatusMovedPermanently: 0} {
			if got := ParseRetryAfter(status, http.Header{"Retry-After": {raw}}, now); got != expected {
				t.Errorf("%d with %q: %v, want %v", status, raw, got, expected)
			}
		}
	}
}

// TestNotices checks that notices of one incarnation do not apply to the next, and that the longer of two
// pauses holds.
func TestNotices(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := NewNotices(logr.Discard(), clock)
	first, second := wire.Start{ID: "i-1", Incarnation: 1}, wire.Start{ID: "i-1", Incarnation: 2}
	expect := func(start wire.Start, pause time.Duration, leaving bool) {
		t.Helper()
		if p, l := n.State(start); p != pause || l != leaving {
			t.Fatalf("%v: pause %v, leaving %v; want %v, %v", start, p, l, pause, leaving)
		}
	}
	n.Record(first, ResponseInfo{})
	expect(first, 0, false)
	n.Record(first, ResponseInfo{Pause: 3 * time.Second})
	n.Record(first, ResponseInfo{Pause: time.Second, Leaving: true})
	expect(first, 3*time.Second, true)
	expect(second, 0, false)
	clock.Advance(2 * time.Second)
	expect(first, time.Second, true)
	clock.Advance(2 * time.Second)
	expect(first, 0, true)
	n.Record(second, ResponseInfo{Pause: 24 * time.Hour})
	expect(second, maxPause, false)
	clock.Advance(noticeRetention)
	n.Record(wire.Start{ID: "i-2"}, ResponseInfo{Leaving: true})
	if len(n.byStart) != 2 {
		t.Fatalf("%d notices are kept", len(n.byStart))
	}
}
