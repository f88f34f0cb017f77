package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"caperdrum.org/api/wire"
)

// routes returns a configuration text with n routes.
func routes(n int) string {
	var b strings.Builder
	b.WriteString("[service:s]\nkind = plain\nupstreams = announced\nmax_connections = 72\n")
	for i := range n {
		fmt.Fprintf(&b, "[route:r-%05d]\nhost = desk.example\npath_prefix = /orders/%05d/\nstreaming = true\nservice = s\nattempts = 1\ntimeout = 12s\ngoal = 1.2s\nmax_gap = 200ms\npriority = 1\naffinity = true\n", i, i)
	}
	return b.String()
}

// TestLargeTextMovesOnlyWhatChanges guards against a large configuration that keeps the leader from leading.
// Users could not read a configuration minutes after it was acknowledged, and a later change was never
// acknowledged.
//
// Their text had 4,200 routes (750 kB). Each change, and each resend of a change in progress, was appended to
// the log as the complete text. Sending 1 MB to each of six followers kept the leader's link busy for 0.6 s, so that
// they received no heartbeat within the election timeout and elected another leader, which got the next resend.
// No leader lasted long enough to confirm a read. Logs showed eight commands of 756 kB within 34 s, each
// followed by the loss of leadership 0.5 to 0.75 s later; before the text had that size, one leader lasted 31 s.
//
// The test sends a change of one route five times at once, as resends do. All processes together may transfer a
// tenth of the text.
func TestLargeTextMovesOnlyWhatChanges(t *testing.T) {
	const resends = 5
	s := startSystem(t, 3, 1)
	leader := s.leader()
	put := func(version uint64, text string) {
		if _, err := leader.putConfig(context.Background(), &wire.PutRequest{Version: version, Text: text}); err != nil {
			t.Errorf("version %d: %v", version, err)
		}
	}
	text := routes(4200)
	put(1, text)
	s.inForce(1)
	before := s.network.bytes.Load()
	next := strings.Replace(text, "goal = 1.2s", "goal = 1.3s", 1)
	var wg sync.WaitGroup
	for range resends {
		wg.Go(func() { put(2, next) })
	}
	wg.Wait()
	s.inForce(2)
	if got := leader.replica.View().Config.Text; got != next {
		t.Errorf("the text in force (%d bytes) differs from the one that was put", len(got))
	}
	if moved, most := s.network.bytes.Load()-before, int64(len(text)/10); moved > most {
		t.Errorf("transferred %d bytes for a change of one route, want at most %d", moved, most)
	}
}
