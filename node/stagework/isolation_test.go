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

// TestCutOffProcessRefusesAtOnce takes a process from control and from the owner: once both have been silent for some
// time its jobs are refused as not run, and their callers are to go elsewhere at once. While one of the two answers, jobs
// wait as before.
func TestCutOffProcessRefusesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		owner, control time.Duration // silent
		refused        bool
	}{
		"both answer":               {0, 0, false},
		"the owner alone is silent": {time.Second, 0, false},
		"control alone is silent":   {0, 2 * isolatedAfter, false},
		"both, for a moment":        {time.Second, isolatedAfter / 2, false},
		"both":                      {time.Second, 2 * isolatedAfter, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, o := newClientService(t), newOwner(t, "j")
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

// TestOwnerIsPingedWhileControlIsSilent has no job under way: the owner is pinged only while control does not answer, and
// its silence then counts as its loss as soon as the process counts as cut off.
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
		t.Error("given up at once")
	default:
	}
	control = 2 * isolatedAfter
	l.recordPing(client, errPingTimeout)
	select {
	case <-lost:
	default:
		t.Error("not given up although control is silent too")
	}
}
