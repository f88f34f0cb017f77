package configsync

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// TestViewsContainSuspects receives quarantined calls with the initial view, and in updates without other
// changes. A control process with an older state must not lift a bar.
func TestViewsContainSuspects(t *testing.T) {
	h := NewHolder(wire.Member{ID: "m"})
	suspects := func(revision uint64, barred bool) *wire.Suspects {
		return &wire.Suspects{Revision: revision, List: []wire.Suspect{{Fingerprint: "f", Barred: barred}}}
	}
	take := func(r wire.SyncReply) error {
		_, err := h.Apply(&r, time.Unix(1000, 0))
		return err
	}
	if err := take(wire.SyncReply{Suspects: suspects(2, false), SuspectsRevision: 2}); err != nil || h.View().Suspects.Barred() != 0 {
		t.Fatal(err, h.View().Suspects)
	}
	if got := h.Request(0).Suspects; got != 2 {
		t.Fatalf("requests updates after revision %d", got)
	}
	if err := take(wire.SyncReply{Suspects: suspects(3, true), SuspectsRevision: 3}); err != nil || h.View().Suspects.Barred() != 1 {
		t.Fatal(err, h.View().Suspects)
	}
	if err := take(wire.SyncReply{Suspects: suspects(2, false), SuspectsRevision: 2}); !errors.Is(err, errOlderState) || h.View().Suspects.Barred() != 1 {
		t.Fatalf("a control process with an older state: %v", err)
	}
	if err := take(wire.SyncReply{SuspectsRevision: 9}); !errors.Is(err, errIncompleteUpdate) {
		t.Fatalf("a reply without its updates: %v", err)
	}
}
