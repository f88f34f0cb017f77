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

// The incident: a service got more calls beyond the first of each request than are allowed
// (see package retry). Two kinds of them asked for no leave: a call whose stage results were gone
// at the engine went there again once they were made anew, and one that met another upstream at an
// address went to the next one, up to three times. So one lost upstream of a stage, or addresses
// that were used again, could double the calls of a service whatever the limit was.

// arrivals counts what upstreams get by the id of the request, rejected or not.
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

// beyondFirst is how many of them were not the first of their request.
func (a *arrivals) beyondFirst() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, k := range a.by {
		n += k - 1
	}
	return n
}

// TestNothingIsSentAgainBeyondTheLimit sends calls that no upstream runs, each for another
// reason, within one window, and counts as the users do.
func TestNothingIsSentAgainBeyondTheLimit(t *testing.T) {
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
		"results of the stages are gone":      {"/quote/", refuse(http.StatusConflict)},
		"and of calls that have one attempt":  {"/chat/", refuse(http.StatusConflict)},
		"upstreams are full":                  {"/reserve/", refuse(http.StatusServiceUnavailable)},
		"upstreams break off":                 {"/reserve/", breakOff},
		"addresses are used by others by now": {"/reserve/", refuse(http.StatusMisdirectedRequest)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			seen := &arrivals{by: map[string]int{}}
			limit := b.service.set.Proxy
			for _, service := range []string{"desk", "llm"} {
				b.upstream(service, service, seen.count(c.h))
			}
			for i := range calls {
				for _, service := range []string{"desk", "llm"} { // others are announced meanwhile
					b.startAgain(service, fmt.Sprint(service, "-", i))
				}
				if _, _, err := b.send(http.MethodPost, c.path, map[string]string{wire.HeaderRequestID: fmt.Sprint("call-", i), "Caperdrum-Pieces": "1", "Caperdrum-Piece-Key": "k"}); err != nil {
					t.Fatal(err)
				}
			}
			if n, allowed := seen.beyondFirst(), int(limit.RepeatRatio*calls+limit.RepeatFixed); n > allowed {
				t.Fatalf("%d calls beyond the first of each request, %d allowed for %d requests", n, allowed, calls)
			}
		})
	}
}

// startAgain announces that four others have taken the place of a service's upstreams, at the
// same address.
func (b *bed) startAgain(service, id string) {
	address := b.view.Announced[service][0].Direct
	var list []wire.Member
	for k := range 4 {
		list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprint(id, "-", k)), Service: service, Direct: address})
	}
	b.announce(service, list)
}

// TestStartThatIsNoMemberHasNoPart lets calls fail at a process whose view does not hold this
// start of it: what its predecessor has repeated still counts.
func TestStartThatIsNoMemberHasNoPart(t *testing.T) {
	for name, members := range map[string][]wire.Member{
		"it has not joined":           {},
		"its predecessor is a member": {{ID: "proxy-1", Peer: "127.0.0.1:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.view.Members, b.view.Proxies = memberset.Of(members...), members
			var n counter
			b.upstream("desk", "d1", n.count(breakOff))
			b.upstream("desk", "d2", n.count(breakOff))
			b.clock.Advance(time.Minute)
			b.want(http.StatusBadGateway, http.MethodPost, "/reserve/", nil)
			if n.n.Load() != 1 {
				t.Fatalf("%d calls of upstreams", n.n.Load())
			}
		})
	}
}

// TestResultsThatAreLostTwice: the call is made once more, and then refused at once as not run.
func TestResultsThatAreLostTwice(t *testing.T) {
	b := newBed(t)
	var n counter
	for _, id := range []string{"e1", "e2", "e3"} {
		b.upstream("llm", id, n.count(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderVerdict, "not-run")
			w.WriteHeader(http.StatusConflict)
		}))
	}
	b.want(http.StatusServiceUnavailable, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "1", "Caperdrum-Piece-Key": "k"})
	if n.n.Load() != 2 || len(b.stages.jobs) != 2 || b.stages.released != 2 {
		t.Fatalf("%d calls of engines, %d jobs, %d released", n.n.Load(), len(b.stages.jobs), b.stages.released)
	}
}

// TestConnectionsAreSharedWithThoseSeenLately lets most processes vanish from the view: they may
// be cut off and keep their connections, so this one's part grows only when that can't be.
func TestConnectionsAreSharedWithThoseSeenLately(t *testing.T) {
	b := newBed(t)
	self := b.views.Self()
	see := func(n int) {
		next := b.view
		next.Proxies = []wire.Member{self}
		for i := range n - 1 {
			id := wire.MemberID(fmt.Sprint("other-", i))
			next.Proxies = append(next.Proxies, wire.Member{ID: id, Peer: "127.0.0.1:2"})
		}
		next.Members = memberset.Of(next.Proxies...)
		b.service.follow(&next)
	}
	x := &exchange{s: b.service, service: &optext.Service{}}
	x.service.MaxConnections = 40
	see(9)
	b.clock.Advance(time.Minute)
	see(1)
	x.table = b.service.table.Load()
	if n := x.connections(); n != 4 {
		t.Errorf("%d connections right after the others vanished", n)
	}
	b.clock.Advance(time.Minute)
	if n := x.connections(); n != 20 {
		t.Errorf("%d connections a minute later", n)
	}
}
