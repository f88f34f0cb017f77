package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// busyService drives one service of two upstreams whose calls take the configured time.
type busyService struct {
	t         *testing.T
	s         *scheduler
	now       time.Time
	running   []*call
	serial    int
	completed []string // answered jobs
}

func newBusyService(t *testing.T) *busyService {
	b := &busyService{t: t, s: newScheduler(), now: time.Unix(1000, 0)}
	b.s.setServices(services, map[string][]wire.Member{"a": {{ID: "a1"}, {ID: "a2"}}})
	b.s.setOwner(b.now, true, false)
	return b
}

// offer submits a job and reports whether it was admitted.
func (b *busyService) offer(priority int, goal time.Duration) bool {
	b.serial++
	id := fmt.Sprint("job", b.serial)
	refused := false
	b.s.submit(b.now, Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 9 * time.Second, Goal: goal, Priority: priority, Stages: []Stage{{Service: "a", Pieces: 2, ResultBytes: 10}}},
		func(_ Result, err error) {
			refused = err != nil
			b.completed = append(b.completed, id)
		})
	return !refused
}

// advance moves the time on, ends and starts calls, and releases results at once.
func (b *busyService) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.running = slices.DeleteFunc(b.running, func(c *call) bool {
		if b.now.Sub(c.started) < c.expected {
			return false
		}
		results := make([]upstream.PieceResult, len(c.pieces))
		for i, r := range c.request {
			results[i].Handle = fmt.Sprint(r.ID, "/", r.Number)
		}
		b.s.recordFreed(b.s.finishCall(b.now, c, outcome{results: results}))
		return true
	})
	for _, id := range b.completed {
		b.s.recordFreed(b.s.handleDone(b.now, Done{SubmissionID: id}))
	}
	b.completed = nil
	b.s.recordFreed(b.s.expireJobs(b.now))
	b.running = append(b.running, b.s.startCalls(b.now)...)
}

// TestUrgentJobsAreNotRefusedMoreOften offers more jobs of two priorities than the service can
// complete in time. The less urgent ones have the longer goal, so estimates alone would admit
// nearly all of them and hardly any urgent one.
func TestUrgentJobsAreNotRefusedMoreOften(t *testing.T) {
	b := newBusyService(t)
	const rounds = 1000
	var taken [2]int
	for range rounds {
		for priority, goal := range []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond} {
			if b.offer(priority, goal) {
				taken[priority]++
			}
		}
		b.advance(40 * time.Millisecond)
	}
	urgent, other := float64(taken[0])/rounds, float64(taken[1])/rounds
	if urgent == 0 || other > urgent+2*classMargin {
		t.Fatalf("admitted %.2f of the urgent jobs, %.2f of the others", urgent, other)
	}
	t.Logf("admitted %.2f of the urgent jobs, %.2f of the others", urgent, other)
}
