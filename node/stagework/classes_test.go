package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// busyService drives one service of two upstreams whose calls take what the text
// says.
type busyService struct {
	t       *testing.T
	s       *scheduler
	now     time.Time
	running []*call
	serial  int
	made    []string // jobs whose results are there
}

func newBusyService(t *testing.T) *busyService {
	b := &busyService{t: t, s: newScheduler(), now: time.Unix(1000, 0)}
	b.s.setServices(services, map[string][]wire.Member{"a": {{ID: "a1"}, {ID: "a2"}}})
	b.s.setOwner(b.now, true, false)
	return b
}

// offer hands in a job and reports whether it was taken in.
func (b *busyService) offer(priority int, goal time.Duration) bool {
	b.serial++
	id := fmt.Sprint("job", b.serial)
	refused := false
	b.s.submit(b.now, Job{ID: id, Handed: id, Key: id, Left: 9 * time.Second, Goal: goal, Priority: priority, Stages: []Stage{{Service: "a", Pieces: 2, Bytes: 10}}},
		func(_ Result, err error) {
			refused = err != nil
			b.made = append(b.made, id)
		})
	return !refused
}

// pass lets time pass: calls end and begin, and results are fetched at once.
func (b *busyService) pass(d time.Duration) {
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
	for _, id := range b.made {
		b.s.recordFreed(b.s.handleDone(b.now, Done{Handed: id}))
	}
	b.made = nil
	b.s.recordFreed(b.s.expireJobs(b.now))
	b.running = append(b.running, b.s.startCalls(b.now)...)
}

// TestLessUrgentJobsDoNotGoBeforeUrgentOnes offers more jobs of two priorities to
// a service than it can make in time. The less urgent ones have the longer goal, so
// that estimates alone would take in nearly all of them and hardly any other.
func TestLessUrgentJobsDoNotGoBeforeUrgentOnes(t *testing.T) {
	b := newBusyService(t)
	const rounds = 1000
	var taken [2]int
	for range rounds {
		for priority, goal := range []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond} {
			if b.offer(priority, goal) {
				taken[priority]++
			}
		}
		b.pass(40 * time.Millisecond)
	}
	urgent, other := float64(taken[0])/rounds, float64(taken[1])/rounds
	if urgent == 0 || other > urgent+2*classMargin {
		t.Fatalf("%.2f of the urgent jobs are taken in, %.2f of the others", urgent, other)
	}
	t.Logf("%.2f of the urgent jobs are taken in, %.2f of the others", urgent, other)
}
