package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

// These tests guard against repeats that bypass the quota (see package retry). Two kinds once did: a call whose stage
// results were lost was sent again after the stages had run once more, and a call that met another upstream at an
// address was sent to up to three further ones. One lost stage upstream, or reused addresses, could so double the calls
// of a service whatever its limit.

// arrivals counts the calls that reach upstreams by request ID, including those that they reject.
type arrivals struct {
	mu sync.Mutex
	by map[string]int
}

func (a *arrivals) count(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.by[r.Header.Get(wire.HeaderRequestID)]++
		a.mu.Unlock()
		h(w, r)
	}
}

// beyondFirst returns the number of arrivals that were not the first of their request.
func (a *arrivals) beyondFirst() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, k := range a.by {
		n += k - 1
	}
	return n
}

// TestRepeatsAreLimited sends calls that no upstream runs, for different reasons, within one window, and
// counts repeats as the users do.
func TestRepeatsAreLimited(t *testing.T) {
	const calls = 400
	refuse := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderVerdict, "not-run")
			w.WriteHeader(status)
		}
	}
	cases := map[string]struct {
		path string
		h    http.HandlerFunc
	}{
		"stage results are lost":                        {"/quote/", refuse(http.StatusConflict)},
		"stage results are lost, with one attempt only": {"/chat/", refuse(http.StatusConflict)},
		"upstreams are full":                            {"/reserve/", refuse(http.StatusServiceUnavailable)},
		"connections break":                             {"/reserve/", breakOff},
		"addresses were reused by other upstreams":      {"/reserve/", refuse(http.StatusMisdirectedRequest)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			seen := &arrivals{by: map[string]int{}}
			limit := f.service.set.Proxy
			for _, service := range []string{"desk", "llm"} {
				f.upstream(service, service, seen.count(c.h))
			}
			for i := range calls {
				for _, service := range []string{"desk", "llm"} { // so that each call finds untried upstreams
					f.replaceAtSameAddress(service, fmt.Sprint(service, "-", i))
				}
				if _, _, err := f.send(http.MethodPost, c.path, map[string]string{wire.HeaderRequestID: fmt.Sprint("call-", i), "Caperdrum-Pieces": "1", "Caperdrum-Piece-Key": "k"}); err != nil {
					t.Fatal(err)
				}
			}
			if n, allowed := seen.beyondFirst(), int(limit.RepeatRatio*calls+limit.RepeatFixed); n > allowed {
				t.Fatalf("%d calls beyond the first of each request, %d allowed for %d requests", n, allowed, calls)
			}
		})
	}
}

// replaceAtSameAddress announces four new upstreams in place of a service's upstreams, all at the address of the
// first one.
func (f *fixture) replaceAtSameAddress(service, id string) {
	address := f.view.Announced[service][0].Direct
	var list []wire.Member
	for k := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint(id, "-", k)), Service: service, Direct: address})
	}
	f.announce(service, list)
}

// TestProcessOutsideTheMemberListDoesNotRepeat has calls fail at a process whose view does not contain its
// incarnation. It must not repeat them: the repeats of its earlier incarnation still count.
func TestProcessOutsideTheMemberListDoesNotRepeat(t *testing.T) {
	for name, members := range map[string][]wire.Member{
		"it has not joined":                   {},
		"its earlier incarnation is a member": {{ID: "proxy-1", Peer: "127.0.0.1:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view.Members, f.view.Proxies = memberset.Of(members...), members
			var n callCounter
			f.upstream("desk", "d1", n.count(breakOff))
			f.upstream("desk", "d2", n.count(breakOff))
			f.clock.Advance(time.Minute)
			f.wantStatus(http.StatusBadGateway, http.MethodPost, "/reserve/", nil)
			if n.n.Load() != 1 {
				t.Fatalf("%d calls of upstreams", n.n.Load())
			}
		})
	}
}

// TestSecondLossOfStageResultsIsRefused checks that a call whose stage results are lost is sent once more and
// then refused as not run.
func TestSecondLossOfStageResultsIsRefused(t *testing.T) {
	f := newFixture(t)
	var n callCounter
	for _, id := range []string{"e1", "e2", "e3"} {
		f.upstream("llm", id, n.count(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderVerdict, "not-run")
			w.WriteHeader(http.StatusConflict)
		}))
	}
	f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "1", "Caperdrum-Piece-Key": "k"})
	if n.n.Load() != 2 || len(f.stages.jobs) != 2 || f.stages.released != 2 {
		t.Fatalf("%d calls of engines, %d jobs, %d released", n.n.Load(), len(f.stages.jobs), f.stages.released)
	}
}

// TestConnectionLimitCountsRecentMembers removes most processes from the view. They may be partitioned and keep
// their connections, so this process's share may grow only when that is excluded.
func TestConnectionLimitCountsRecentMembers(t *testing.T) {
	f := newFixture(t)
	self := f.views.Self()
	see := func(n int) {
		next := f.view
		next.Proxies = []wire.Member{self}
		for i := range n - 1 {
			id := wire.MemberID(fmt.Sprint("other-", i))
			next.Proxies = append(next.Proxies, wire.Member{ID: id, Peer: "127.0.0.1:2"})
		}
		next.Members = memberset.Of(next.Proxies...)
		f.service.applyView(&next)
	}
	x := &exchange{s: f.service, service: &optext.Service{}}
	x.service.MaxConnections = 40
	see(9)
	f.clock.Advance(time.Minute)
	see(1)
	x.table = f.service.table.Load()
	if n := x.maxConnections(); n != 4 {
		t.Errorf("%d connections right after the other processes vanished", n)
	}
	f.clock.Advance(time.Minute)
	if n := x.maxConnections(); n != 20 {
		t.Errorf("%d connections a minute later", n)
	}
}
