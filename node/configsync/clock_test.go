package configsync

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/settings"
)

// TestConfirmationKeepsTheMonotonicClock applies a confirmation whose time has a monotonic clock reading, as
// time.Now returns it. Its age must follow that reading: if the wall clock is set back, a key would otherwise
// look confirmed for longer.
func TestConfirmationKeepsTheMonotonicClock(t *testing.T) {
	h := NewHolder(wire.Member{ID: "m"})
	asked := time.Now()
	if _, err := h.Apply(&wire.SyncReply{StampAge: time.Second}, asked); err != nil {
		t.Fatal(err)
	}
	if age := h.StampAge(asked.Add(2 * time.Second)); age != 3*time.Second {
		t.Fatalf("confirmed %v ago", age)
	}
	if at := h.confirmed.Load(); at.at.Round(0) == at.at {
		t.Fatal("the confirmation has lost its monotonic clock reading")
	}
}

// TestViewFollowsTheOwnerEpoch applies a newer owner, and then an older one from a control process that lags.
func TestViewFollowsTheOwnerEpoch(t *testing.T) {
	h := NewHolder(wire.Member{ID: "m"})
	now := time.Now()
	for _, epoch := range []uint64{1, 3, 2} {
		reply := &wire.SyncReply{Owner: wire.StageOwner{ID: "o", Epoch: epoch}}
		changed, err := h.Apply(reply, now)
		if err != nil {
			t.Fatal(err)
		}
		if (changed != nil) != (epoch != 2) {
			t.Fatalf("epoch %d: a new view %v", epoch, changed != nil)
		}
	}
	if got := h.View().Owner.Epoch; got != 3 {
		t.Fatalf("epoch %d", got)
	}
}

// TestAgeOfAConfirmationCountsSuspension checks that the clock includes the time in which the machine was
// suspended. After a wake-up, a process must not treat a key as recently confirmed.
func TestAgeOfAConfirmationCountsSuspension(t *testing.T) {
	s := New(Params{Settings: &settings.Settings{Peers: settings.Peers{Control: []string{"127.0.0.1:1"}}}, Log: logr.Discard()})
	if _, counts := s.clock.(*boottime.Clock); !counts {
		t.Fatalf("the age of confirmations is measured by a %T", s.clock)
	}
}
