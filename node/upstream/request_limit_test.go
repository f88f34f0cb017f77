package upstream

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/requestlimit"
)

// TestParseRequestLimit parses values of the header that names a request limit. A value that is no finite decimal
// number of zero or more neither names a limit nor ends one.
func TestParseRequestLimit(t *testing.T) {
	named := func(rate float64) RequestLimit { return RequestLimit{Statement: LimitNamed, PerSecond: rate} }
	for _, x := range []struct {
		values []string
		want   RequestLimit
	}{
		{nil, RequestLimit{Statement: LimitNone}},
		{[]string{"1"}, named(1)},
		{[]string{" 0.5 "}, named(0.5)},
		{[]string{"0"}, named(0)},
		{[]string{"1e308"}, named(1e308)},
		{[]string{"2", "2.0"}, named(2)},
		{[]string{"20", "1"}, RequestLimit{LimitNamed, 1, `["20" "1"]`}},
		{[]string{"3, 4"}, RequestLimit{LimitNamed, 3, `["3, 4"]`}},
		{[]string{"soon", "4"}, RequestLimit{LimitNamed, 4, `["soon" "4"]`}},
		{[]string{""}, RequestLimit{Invalid: `[""]`}},
		{[]string{"-1"}, RequestLimit{Invalid: `["-1"]`}},
		{[]string{"NaN"}, RequestLimit{Invalid: `["NaN"]`}},
		{[]string{"Inf"}, RequestLimit{Invalid: `["Inf"]`}},
		{[]string{"1e309"}, RequestLimit{Invalid: `["1e309"]`}},
		{[]string{"0x10"}, RequestLimit{Invalid: `["0x10"]`}},
		{[]string{"1_0"}, RequestLimit{Invalid: `["1_0"]`}},
	} {
		if got := ParseRequestLimit(x.values); got != x.want {
			t.Errorf("%q: %+v, want %+v", x.values, got, x.want)
		}
	}
}

// TestRequestNeedsAPermit checks that nothing is sent to an upstream with a limit but with a permit for it that has
// not expired, and that a permit does not override a pause.
func TestRequestNeedsAPermit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := NewNotices(logr.Discard(), clock)
	start, other := wire.Start{ID: "i-1", Incarnation: 1}, wire.Start{ID: "i-1", Incarnation: 2}
	permit := NewPermit(start, n.PermitExpiry())
	allowed := func(s wire.Start, p Permit, want bool) {
		t.Helper()
		err := n.Check(s, p)
		if (err == nil) != want || err != nil && verdict.From(err).Verdict != verdict.NotRun {
			t.Fatal(s, p, err)
		}
	}
	allowed(start, Permit{}, true)
	n.Record(start, ResponseInfo{Limit: RequestLimit{Statement: LimitNamed, PerSecond: 1}})
	allowed(start, Permit{}, false)
	allowed(start, permit, true)
	allowed(start, NewPermit(other, n.PermitExpiry()), false)
	allowed(other, Permit{}, true)
	n.Record(start, ResponseInfo{Pause: time.Millisecond})
	allowed(start, permit, false)
	clock.Advance(requestlimit.PermitTTL)
	allowed(start, permit, false)
	n.Record(start, ResponseInfo{Limit: RequestLimit{Statement: LimitUnstated, Invalid: `["x"]`}})
	allowed(start, Permit{}, false)
	n.Record(start, ResponseInfo{Limit: RequestLimit{Statement: LimitNone}})
	allowed(start, Permit{}, true)
}

// TestNewerLimitNoticeHolds has another process tell of limits: what is newer holds, and an end counts only if no
// response has named the limit shortly before.
func TestNewerLimitNoticeHolds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := NewNotices(logr.Discard(), clock)
	changes := 0
	n.OnLimitChanged(func(wire.Start) { changes++ })
	start := wire.Start{ID: "i-1", Incarnation: 1}
	expect := func(perSecond float64, limited bool) {
		t.Helper()
		if rate, is := n.Limit(start); rate != perSecond || is != limited || n.AnyLimited() != limited {
			t.Fatal(rate, is, n.AnyLimited())
		}
	}
	named := func(perSecond float64) {
		n.Record(start, ResponseInfo{Limit: RequestLimit{Statement: LimitNamed, PerSecond: perSecond}})
	}
	told := func(perSecond float64, ended bool, age time.Duration) {
		n.Merge([]LimitNotice{{Upstream: start, PerSecond: perSecond, Ended: ended, Age: age}})
	}
	told(3, false, time.Second)
	expect(3, true)
	clock.Advance(2 * time.Second)
	named(1)
	expect(1, true)
	told(3, false, 3*time.Second)
	expect(1, true)
	clock.Advance(maxClockError / 2)
	told(0, true, 0)
	expect(1, true)
	clock.Advance(maxClockError)
	told(0, true, 0)
	expect(0, false)
	told(1, false, time.Hour)
	expect(0, false)
	named(0.5)
	expect(0.5, true)
	if list := n.LimitNotices([]wire.Start{start, {ID: "i-2"}}); len(list) != 1 || list[0] != (LimitNotice{Upstream: start, PerSecond: 0.5}) {
		t.Fatal(list)
	}
	if changes != 2 {
		t.Fatalf("%d changes by responses, want 2: what others tell is not told again", changes)
	}
	n.UpdateMembers(memberset.Of(wire.Member{ID: "i-1", Incarnation: 1}))
	clock.Advance(2 * noticeRetention)
	n.Record(wire.Start{ID: "i-2"}, ResponseInfo{Leaving: true})
	expect(0.5, true)
	n.UpdateMembers(memberset.Set{})
	n.Record(wire.Start{ID: "i-2"}, ResponseInfo{Leaving: true})
	expect(0, false)
}

// TestInvalidLimitIsLoggedOnce guards against a log line for each response of an upstream that names an invalid
// limit.
func TestInvalidLimitIsLoggedOnce(t *testing.T) {
	var lines []string
	n := NewNotices(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}), clockwork.NewFakeClock())
	start, before := wire.Start{ID: "i-1"}, limitsInvalidVar.Value()
	record := func(values ...string) {
		n.Record(start, ResponseInfo{Limit: ParseRequestLimit(values)})
	}
	for range 5 {
		record("soon")
	}
	record("-1")
	record()
	record("-1")
	if len(lines) != 3 {
		t.Errorf("%d lines: %q", len(lines), lines)
	}
	if got := limitsInvalidVar.Value() - before; got != 7 {
		t.Errorf("%d invalid values are counted, want 7", got)
	}
}
