package quarantine

import (
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

func TestFingerprintsOfCopies(t *testing.T) {
	call := Call{Customer: "foundry", Method: "POST", Host: "h.example", Target: "/chat/x", Body: []byte("body")}
	same := call
	same.Body = []byte("body")
	if f := same.Fingerprint(); f != call.Fingerprint() || len(f) != 22 {
		t.Fatalf("%q and %q", f, call.Fingerprint())
	}
	seen := map[wire.Fingerprint]Call{call.Fingerprint(): call}
	for _, other := range []Call{
		{Customer: "harbour", Method: "POST", Host: "h.example", Target: "/chat/x", Body: []byte("body")},
		{Customer: "foundry", Method: "GET", Host: "h.example", Target: "/chat/x", Body: []byte("body")},
		{Customer: "foundry", Method: "POST", Host: "h.example", Target: "/chat/x?y", Body: []byte("body")},
		{Customer: "foundry", Method: "POST", Host: "h.example", Target: "/chat/x", Body: []byte("body2")},
		{Customer: "foundry", Method: "POST", Host: "h.example", Target: "/chat/", Body: []byte("xbody")},
		{Customer: "foundryP", Method: "OST", Host: "h.example", Target: "/chat/x", Body: []byte("body")},
	} {
		if same, taken := seen[other.Fingerprint()]; taken {
			t.Errorf("%+v has the fingerprint of %+v", other, same)
		}
		seen[other.Fingerprint()] = other
	}
}

var (
	errRefused = errors.Annotate(syscall.ECONNREFUSED, "dial")
	errSilent  = errors.New("no answer")
)

// TestInquiries interrupts calls at upstreams that have crashed, that are alive, and that are unreachable.
func TestInquiries(t *testing.T) {
	m := wire.Member{ID: "i-1", Incarnation: 1, Service: "desk", Direct: "10.0.0.1:80"}
	next := wire.Member{ID: "i-2", Incarnation: 1, Service: "desk", Direct: m.Direct}
	cases := map[string]struct {
		listens error
		then    func(q *Inquiries)
		want    int
	}{
		"connection refused":                 {errRefused, func(*Inquiries) {}, 2},
		"alive":                              {nil, func(q *Inquiries) { q.Ended(m.Start()) }, 0},
		"unreachable":                        {errSilent, func(*Inquiries) {}, 0},
		"address belongs to another member":  {errSilent, func(q *Inquiries) { q.Follow(memberset.Of(next)) }, 2},
		"no longer a member, address unused": {errSilent, func(q *Inquiries) { q.Follow(memberset.Set{}) }, 0},
		"still a member":                     {errSilent, func(q *Inquiries) { q.Follow(memberset.Of(m)) }, 0},
		"crash found by another call":        {errSilent, func(q *Inquiries) { q.Ended(m.Start()) }, 2},
		"crash found by another call after the timeout": {errSilent, func(q *Inquiries) {
			time.Sleep(checkTTL + time.Second)
			q.Broke(Broken{Request: "third", Upstream: m})
			synctest.Wait()
			q.Ended(m.Start())
		}, 1},
		"interruption noticed late": {errRefused, func(q *Inquiries) {
			time.Sleep(crashTTL - time.Second)
			q.Broke(Broken{Request: "third", Upstream: m})
		}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				ended := map[string]bool{}
				q := NewInquiries(func(string) error { return c.listens }, func(b Broken) {
					mu.Lock()
					defer mu.Unlock()
					ended[b.Request] = true
				}, clockwork.NewRealClock())
				q.Broke(Broken{Request: "first", Upstream: m})
				q.Broke(Broken{Request: "second", Upstream: m})
				synctest.Wait()
				c.then(q)
				synctest.Wait()
				if len(ended) != c.want {
					t.Fatalf("calls reported: %v, want %d", ended, c.want)
				}
			})
		})
	}
}
