package stagework

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// fleetOwner returns the owner of services with as many upstreams as a deployment of that many processes
// has.
func fleetOwner(processes int) (*scheduler, time.Time) {
	s, now := newScheduler(), time.Unix(1000, 0)
	specs := map[string]*optext.Service{}
	members := map[string][]wire.Member{}
	for name, spec := range chainServices {
		specs[name] = spec
		for i := range processes * 2 / 5 {
			id := fmt.Sprint(name, i)
			members[name] = append(members[name], wire.Member{ID: wire.MemberID(id), Service: name, Direct: id, DataCenter: fmt.Sprint("dc", i%6), Incarnation: 1})
		}
	}
	s.setServices(specs, members)
	s.setOwner(now, true, false)
	return s, now
}

// fleetJob returns a job of a burst: a chain whose second stage is the bottleneck.
func fleetJob(i int) Job {
	id := fmt.Sprint("j", i)
	return Job{ID: id, SubmissionID: id, Key: id, TimeLeft: 10 * time.Second, Goal: 2 * time.Second, DataCenter: fmt.Sprint("dc", i%6),
		Stages: []Stage{{Service: "front", Pieces: 1, ResultBytes: 8000}, {Service: "catalog", DependsOn: []int{0}, Pieces: 4, ResultBytes: 60_000}, {Service: "courier", DependsOn: []int{1}, Pieces: 6, ResultBytes: 6000}}}
}

// BenchmarkBurst has callers retry all at once, three jobs for each process, until all are done.
func BenchmarkBurst(b *testing.B) {
	for _, processes := range []int{90, 360, 720} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			calls := 0
			for range b.N {
				calls += playBurst(processes)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(calls), "us/call")
		})
	}
}

// playBurst plays the burst on a virtual clock and returns the number of calls made.
func playBurst(processes int) (calls int) {
	s, now := fleetOwner(processes)
	type ending struct {
		at time.Time
		c  *call
	}
	var under []ending
	start := func() {
		for _, c := range s.startCalls(now) {
			calls++
			under = append(under, ending{now.Add(c.expected), c})
		}
	}
	left := 0
	for i := range 3 * processes {
		left++
		s.submit(now, fleetJob(i), func(Result, error) { left-- })
		start()
	}
	for step := 0; left > 0 && step < 20_000; step++ {
		now = now.Add(time.Millisecond)
		ended := under
		under = nil
		for _, e := range ended {
			if e.at.After(now) {
				under = append(under, e)
				continue
			}
			o := outcome{}
			for k := range e.c.pieces {
				o.results = append(o.results, upstream.PieceResult{Handle: fmt.Sprint("h", calls, k)})
			}
			s.recordFreed(s.finishCall(now, e.c, o))
			start() // after each event, as an owner does that keeps up
		}
		if step%20 == 0 {
			s.recordFreed(s.expireJobs(now))
			start()
		}
	}
	return calls
}

// TestQueueIsScannedOncePerDataCenter has pieces wait for busy upstreams of one data centre, while those of
// five others are idle: the owner checks each piece once for a data centre, not once for each upstream.
func TestQueueIsScannedOncePerDataCenter(t *testing.T) {
	const dataCenters = 6
	for _, processes := range []int{90, 360, 720} {
		s, now := fleetOwner(processes)
		q := s.services["courier"]
		for _, w := range q.list {
			if w.member.DataCenter == "dc0" {
				w.runningCalls = 1
				w.freeAt = now.Add(300 * time.Millisecond)
			}
		}
		for i := range processes {
			j := &job{Job: fleetJob(i), serial: uint64(i), arrived: now, deadline: now.Add(10 * time.Second), goal: now.Add(2 * time.Second)}
			s.reset(j)
			q.enqueue(&piece{job: j, stage: 2, preferredDataCenter: "dc0", queued: now})
		}
		before := q.fitChecks
		if c := q.nextCall(now); c != nil {
			t.Fatalf("%d processes: got a call of %d pieces, which should wait", processes, len(c.pieces))
		}
		if looked := q.fitChecks - before; looked > dataCenters*processes {
			t.Errorf("%d processes: %d checks of %d pieces", processes, looked, processes)
		}
	}
}
