package configsync

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// TestDurationOfControlSilence ends synchronizations in each way. Control must count as silent from the time at which
// the first missing answer was due, until a control process that reaches the leader answers.
func TestDurationOfControlSilence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Service{holder: NewHolder(wire.Member{ID: "m"}), log: logr.Discard(), clock: clock, directory: peer.NewDirectory([]string{"c1"})}
	want := func(when string, silent time.Duration) {
		t.Helper()
		if got := s.ControlUnreachableFor(); got != silent {
			t.Errorf("%s: silent for %s, want %s", when, got, silent)
		}
	}
	want("at the start", 0)

	due := clock.Now().Add(syncWait)
	clock.Advance(syncWait + answerGrace)
	s.recordUnreachable(due)
	want("long poll timed out", answerGrace)
	clock.Advance(time.Second)
	s.recordUnreachable(clock.Now())
	want("no answer again", answerGrace+time.Second)

	if err := s.accept(&wire.SyncReply{StampAge: -1}, clock.Now()); !errors.Is(err, errUnconfirmed) {
		t.Fatal(err)
	}
	want("answer without a confirmation", answerGrace+time.Second)
	if err := s.accept(&wire.SyncReply{}, clock.Now()); !errors.Is(err, errNotRenewed) {
		t.Fatal(err)
	}
	want("answer of one that does not reach the leader", answerGrace+time.Second)
	if err := s.accept(&wire.SyncReply{Renewed: true}, clock.Now()); err != nil {
		t.Fatal(err)
	}
	want("answered", 0)

	s.recordUnreachable(clock.Now().Add(syncWait))
	clock.Advance(time.Millisecond)
	want("connection reset before the answer was due", time.Millisecond)
}
