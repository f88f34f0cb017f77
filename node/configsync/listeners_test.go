package configsync

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
)

// TestViewIsAppliedOnlyAfterListeners checks that a view that a listener is still processing does not count as
// taken over, although View already returns it.
func TestViewIsAppliedOnlyAfterListeners(t *testing.T) {
	s := &Service{clock: clockwork.NewFakeClock(), holder: NewHolder(wire.Member{ID: "a"}), log: logr.Discard(), ring: timeline.NewRing("a", "v", 16)}
	calls := 0
	s.OnChange(func(*View) {
		calls++
		if s.View() == nil || s.ViewApplied() {
			t.Errorf("within the listener: view %v, taken over %t", s.View(), s.ViewApplied())
		}
	})
	const text = "[service:s]\nkind = plain\n"
	reply := &wire.SyncReply{Version: 1, MembersSeq: 1, Renewed: true, Config: &wire.ConfigText{Version: 1, Text: text, Hash: xxhash.Sum64String(text)},
		Members: &wire.MembersDelta{To: 1, Whole: true}}
	if err := s.accept(reply, time.Now()); err != nil {
		t.Fatal(err)
	}
	if calls != 1 || !s.ViewApplied() {
		t.Fatalf("%d calls, taken over %t", calls, s.ViewApplied())
	}
}
