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

// TestCrashDetector interrupts calls at upstreams that have crashed, that are alive, and that are unreachable.
func TestCrashDetector(t *testing.T) {
	m := wire.Member{ID: "i-1", Incarnation: 1, Service: "desk", Direct: "10.0.0.1:80"}
	next := wire.Member{ID: "i-2", Incarnation: 1, Service: "desk", Direct: m.Direct}
	cases := map[string]struct {
		listens error
		then    func(q *CrashDetector)
		want    int
	}{
		"connection refused":                 {errRefused, func(*CrashDetector) {}, 2},
		"alive":                              {nil, func(q *CrashDetector) { q.MarkCrashed(m.Start()) }, 0},
		"unreachable":                        {errSilent, func(*CrashDetector) {}, 0},
		"address belongs to another member":  {errSilent, func(q *CrashDetector) { q.UpdateMembers(memberset.Of(next)) }, 2},
		"no longer a member, address unused": {errSilent, func(q *CrashDetector) { q.UpdateMembers(memberset.Set{}) }, 0},
		"still a member":                     {errSilent, func(q *CrashDetector) { q.UpdateMembers(memberset.Of(m)) }, 0},
		"crash found by another call":        {errSilent, func(q *CrashDetector) { q.MarkCrashed(m.Start()) }, 2},
		"crash found by another call after the timeout": {errSilent, func(q *CrashDetector) {
			time.Sleep(checkTTL + time.Second)
			q.Check(InterruptedCall{Request: "third", Upstream: m})
			synctest.Wait()
			q.MarkCrashed(m.Start())
		}, 1},
		"interruption noticed late": {errRefused, func(q *CrashDetector) {
			time.Sleep(crashTTL - time.Second)
			q.Check(InterruptedCall{Request: "third", Upstream: m})
		}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				ended := map[string]bool{}
				q := NewCrashDetector(func(string) error { return c.listens }, func(b InterruptedCall) {
					mu.Lock()
					defer mu.Unlock()
					ended[b.Request] = true
				}, clockwork.NewRealClock())
				q.Check(InterruptedCall{Request: "first", Upstream: m})
				q.Check(InterruptedCall{Request: "second", Upstream: m})
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
