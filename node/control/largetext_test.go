package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"caperdrum.org/api/wire"
)

// routes is an operators' text with n routes.
func routes(n int) string {
	var b strings.Builder
	b.WriteString("[service:s]\nkind = plain\nupstreams = announced\nmax_connections = 72\n")
	for i := range n {
		fmt.Fprintf(&b, "[route:r-%05d]\nhost = desk.example\npath_prefix = /orders/%05d/\nstreaming = true\nservice = s\nattempts = 1\ntimeout = 12s\ngoal = 1.2s\nmax_gap = 200ms\npriority = 1\naffinity = true\n", i, i)
	}
	return b.String()
}

// TestLargeTextMovesOnlyWhatChanges. Users saw that a configuration could not be read
// back: no process answered in time, minutes after it had been acknowledged, and a
// later change was never acknowledged.
//
// Their text had grown to some 4,200 routes, 750 kB. Each change went into the log as
// a whole text, and each resend of a change that was still under way as one more. Six
// followers at 1 MB each kept the leader's link busy for 0.6 s; they heard no heartbeat
// for an election timeout and elected another leader, which got the next resend. While that
// went on nobody led for long enough to confirm a read.
//
// It was proved by logging who leads, why a lead ends and how large each command is: eight
// commands of 756 kB within 34 s, each followed by the loss of the lead 0.5 to 0.75 s later,
// and one leader for 31 s before there were that many routes.
//
// Here a change of one route is sent five times at once, as resends are, and all
// processes together may move a tenth of the text.
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
		t.Errorf("the text in force has %d bytes and is not the one that was put", len(got))
	}
	if moved, most := s.network.bytes.Load()-before, int64(len(text)/10); moved > most {
		t.Errorf("%d bytes were moved for a change of one route, at most %d should", moved, most)
	}
}
