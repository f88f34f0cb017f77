package stagework

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// TestIsolatedProcessRefusesAtOnce isolates a process from control and from the owner: once both have been
// silent for a while, its jobs are refused as not run, and callers are told to retry elsewhere at once.
// While either answers, jobs wait as usual.
func TestIsolatedProcessRefusesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		owner, control time.Duration // how long each is silent
		refused        bool
	}{
		"both answer":              {0, 0, false},
		"only the owner is silent": {time.Second, 0, false},
		"only control is silent":   {0, 2 * isolatedAfter, false},
		"both briefly silent":      {time.Second, isolatedAfter / 2, false},
		"both":                     {time.Second, 2 * isolatedAfter, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, o := newClientService(t), newFakeOwner(t, "j")
			s.link.setOwner(wire.StageOwner{ID: "o", Peer: o.address, Epoch: 1}, false)
			s.link.control = func() time.Duration { return c.control }
			if c.owner > 0 {
				s.link.silentSince = time.Now().Add(-c.owner)
			}
			o.answer["j"] <- nil
			got := <-s.runAsync(t.Context(), "j")
			var v *verdict.Error
			if refused := errors.As(got.err, &v); refused != c.refused {
				t.Fatalf("%+v", got)
			}
			if c.refused && (v.Verdict != verdict.NotRun || v.RetryAfter != isolatedRetryAfter || len(o.arrived) > 0) {
				t.Fatalf("%+v, %d arrived", v, len(o.arrived))
			}
		})
	}
}

// TestOwnerIsPingedWhileControlIsSilent has no job in progress: the owner is pinged only while control does
// not answer. If the owner does not answer then, it counts as lost once the process counts as isolated.
func TestOwnerIsPingedWhileControlIsSilent(t *testing.T) {
	l, control := newOwnerLink(peer.DialTCP, logr.Discard()), time.Duration(0)
	defer l.close()
	l.control = func() time.Duration { return control }
	l.setOwner(wire.StageOwner{ID: "o", Peer: "127.0.0.1:1", Epoch: 1}, false)
	if _, due, _ := l.pingTarget(); due {
		t.Error("pinged without a job")
	}
	control = time.Millisecond
	client, due, _ := l.pingTarget()
	if !due {
		t.Error("not pinged while control is silent")
	}
	_, lost, _ := l.acquire()
	l.recordPing(client, errPingTimeout)
	select {
	case <-lost:
		t.Error("jobs withdrawn at once")
	default:
	}
	control = 2 * isolatedAfter
	l.recordPing(client, errPingTimeout)
	select {
	case <-lost:
	default:
		t.Error("jobs not withdrawn although control is silent too")
	}
}
