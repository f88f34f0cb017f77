package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/e2e/harness"
)

func apply(t *testing.T, s *harness.System, c wire.ChangeRequest) wire.ChangeResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := s.Admin().Apply(ctx, c)
	if err != nil {
		t.Errorf("change %d: %v", c.Number, err)
	}
	return res
}

// TestOperatorsRace lets two operators submit the same version number at once while the leader is killed.
// Both resend their changes much later.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	var rounds [][2]wire.ChangeRequest
	var first [][2]wire.ChangeResult
	for number := uint64(2); number <= 6; number++ {
		pair := [2]wire.ChangeRequest{harness.Change(number, harness.Text(fmt.Sprint("a", number))), harness.Change(number, harness.Text(fmt.Sprint("b", number)))}
		rounds, first = append(rounds, pair), append(first, race(t, s, pair, number%2 == 0))
	}
	for i, pair := range rounds {
		again := race(t, s, pair, false)
		for k := range pair {
			if again[k].Accepted != first[i][k].Accepted || again[k].Version != first[i][k].Version || again[k].Winner != first[i][k].Winner {
				t.Errorf("resend of %s got %+v, first %+v", pair[k].ChangeID, again[k], first[i][k])
			}
		}
	}
	s.AwaitVersion(6)
}

// race submits both changes at once and checks that exactly one is accepted.
func race(t *testing.T, s *harness.System, pair [2]wire.ChangeRequest, kill bool) [2]wire.ChangeResult {
	t.Helper()
	var out [2]wire.ChangeResult
	var wg sync.WaitGroup
	for k := range pair {
		wg.Go(func() { out[k] = apply(t, s, pair[k]) })
	}
	if kill {
		leader := s.Leader()
		leader.Kill()
		leader.Start()
	}
	wg.Wait()
	if out[0].Accepted == out[1].Accepted {
		t.Errorf("number %d: %+v and %+v", pair[0].Number, out[0], out[1])
		return out
	}
	won := 0
	if out[1].Accepted {
		won = 1
	}
	if out[1-won].Winner != pair[won].ChangeID {
		t.Errorf("the rejected change for number %d names the accepted change %q, not %q", pair[0].Number, out[1-won].Winner, pair[won].ChangeID)
	}
	return out
}

// TestLostAnswer kills the leader right after a change was submitted. Resending the change with the same id
// gets the answer, and the change is applied only once.
func TestLostAnswer(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	for number := uint64(2); number <= 6; number++ {
		c := harness.Change(number, harness.Text(fmt.Sprint(number)))
		leader := s.Leader()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Admin().Apply(ctx, c) // its answer is treated as lost
		}()
		time.Sleep(time.Duration(number) * time.Millisecond)
		leader.Kill()
		cancel()
		<-done
		leader.Start()
		if res := apply(t, s, c); !res.Accepted || res.Version != number {
			t.Errorf("change %d: %+v", number, res)
		}
	}
	s.AwaitVersion(6)
}

// TestProcessesCatchUpWithManyChanges stops an entry, an agent and a control process while 500 changes are accepted, and restarts
// them.
func TestProcessesCatchUpWithManyChanges(t *testing.T) {
	t.Parallel()
	const changes = 500
	s := harness.New(t, harness.Options{})
	first := s.MustApply(2, harness.Text("2"))
	away := []*harness.Process{s.Entries[0].Process, s.Agents[0].Process, s.Controls[2].Process}
	harness.Concurrently(away, (*harness.Process).Kill)
	for number := uint64(3); number < 3+changes; number++ {
		s.MustApply(number, harness.Text(fmt.Sprint(number)))
	}
	for _, p := range away {
		p.Start()
	}
	s.AwaitVoters()
	s.AwaitVersion(2 + changes)
	if res := apply(t, s, first); !res.Accepted || res.Version != 2 || !res.Resent {
		t.Errorf("resend after %d changes: %+v", changes, res)
	}
	s.AwaitVersion(2 + changes)
	load := s.StartLoad()
	load.Await(phase / 4)
	load.Finish()
	noUnknownOutcomes(t, load)
}
