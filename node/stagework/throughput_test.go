package stagework

import (
	"fmt"
	"math"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

// meterStep is a period of a meter: whether the service is busy in it, the nominal throughput, and the pieces
// that are completed at its end.
type meterStep struct {
	lasts   time.Duration
	busy    bool
	nominal float64
	made    int
}

// play advances the meter through the steps, in parts of 10 ms.
func (m *throughputMeter) play(now time.Time, steps []meterStep) time.Time {
	m.skip(now)
	for _, s := range steps {
		for range int(s.lasts / (10 * time.Millisecond)) {
			m.busy = s.busy
			now = now.Add(10 * time.Millisecond)
			m.advance(now, s.nominal)
		}
		m.add(s.made)
	}
	return now
}

func repeated(n int, s meterStep) (out []meterStep) {
	for range n {
		out = append(out, s)
	}
	return out
}

// TestThroughputMeter guards against a share that is measured while the service is not busy, that does not follow
// a change, or that is decided by a few calls.
func TestThroughputMeter(t *testing.T) {
	tenth := 100 * time.Millisecond
	for name, c := range map[string]struct {
		steps   []meterStep
		nominal float64
		want    float64
	}{
		"never busy":                       {nil, 100, 0.75},
		"calls while not busy":             {repeated(50, meterStep{tenth, false, 100, 10}), 100, 0.75},
		"half of the nominal throughput":   {repeated(100, meterStep{tenth, true, 100, 5}), 100, 0.53},
		"all of it":                        {repeated(100, meterStep{tenth, true, 100, 10}), 100, 0.99},
		"one call of 8 pieces in 0.1 s":    {[]meterStep{{tenth, true, 100, 8}}, 100, 0.77},
		"nothing completed for 0.34 s":     {[]meterStep{{340 * time.Millisecond, true, 100, 0}}, 100, 0.37},
		"half, then nothing for 2 s":       {append(repeated(100, meterStep{tenth, true, 100, 5}), meterStep{2 * time.Second, true, 100, 0}), 100, 0.27},
		"nothing for 2 s, then idle 20 s":  {[]meterStep{{2 * time.Second, true, 100, 0}, {20 * time.Second, false, 100, 0}}, 100, 0.75},
		"no healthy upstream":              {repeated(50, meterStep{tenth, true, 0, 0}), 0, 0.75},
		"more than nominal":                {repeated(100, meterStep{tenth, true, 10, 10}), 10, maxShare},
		"nominal throughput halves":        {append(repeated(100, meterStep{tenth, true, 100, 5}), repeated(100, meterStep{tenth, true, 50, 5})...), 50, 0.97},
		"upstreams that are lost are idle": {append(repeated(100, meterStep{tenth, true, 100, 5}), meterStep{tenth, false, 50, 0}), 50, 0.52},
	} {
		t.Run(name, func(t *testing.T) {
			m := throughputMeter{}
			m.play(time.Unix(1000, 0), c.steps)
			if got := m.share(c.nominal); math.Abs(got-c.want) > 0.015 {
				t.Errorf("share %.3f, want %.2f", got, c.want)
			}
		})
	}
}

// TestMeterIsIndependentOfItsSteps guards against a share that depends on how often the owner has events.
func TestMeterIsIndependentOfItsSteps(t *testing.T) {
	shares := map[time.Duration]float64{}
	for _, step := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond} {
		m, now := throughputMeter{}, time.Unix(1000, 0)
		m.skip(now)
		for range 4 * time.Second / (500 * time.Millisecond) {
			m.busy = true
			for range 500 * time.Millisecond / step {
				now = now.Add(step)
				m.advance(now, 100)
			}
			m.add(20)
		}
		shares[step] = m.share(100)
	}
	for step, share := range shares {
		if math.Abs(share-shares[time.Millisecond]) > 1e-6 {
			t.Errorf("share %.6f with steps of %s, %.6f with steps of 1 ms", share, step, shares[time.Millisecond])
		}
	}
}

// TestIdleTimeBeforeABurstIsNotCounted guards against an owner that counts the time without events before a burst as
// time in which its services were busy and completed nothing.
func TestIdleTimeBeforeABurstIsNotCounted(t *testing.T) {
	s, now := fleetOwner(90)
	s.startCalls(now)
	now = now.Add(time.Minute)
	submitBurst(s, now, 0)
	s.startCalls(now)
	for name, q := range s.services {
		if q.meter.nominal > 0 || math.Abs(q.meter.share(q.nominalThroughput())-initialShare) > 1e-6 {
			t.Errorf("%s: share %.2f, measured against %.0f pieces", name, q.meter.share(q.nominalThroughput()), q.meter.nominal)
		}
	}
}

// TestStallIsNotMeasured guards against a share that falls by a stall of the owner and the wait for confirmation after
// it, or rises by the calls that end in it.
func TestStallIsNotMeasured(t *testing.T) {
	s, now := fleetOwner(10)
	s.startCalls(now)
	for i := range 400 {
		j := fleetJob(i)
		j.TimeLeft, j.Goal = time.Minute, time.Minute
		s.submit(now, j, func(Result, error) {})
	}
	calls := s.startCalls(now)
	busy := 0
	for _, q := range s.services {
		if q.meter.busy {
			busy++
		}
	}
	if busy == 0 {
		t.Fatal("no service is busy")
	}
	before := map[string]throughputMeter{}
	for name, q := range s.services {
		before[name] = q.meter
	}
	now = now.Add(8 * time.Second)
	s.recordStall(now)
	for _, c := range calls[1:] {
		s.finishCall(now, c, successOutcome(c))
	}
	now = now.Add(maxUnconfirmed / 2)
	s.expireJobs(now)
	if started := s.startCalls(now); len(started) > 0 {
		t.Fatalf("%d calls started before the confirmation", len(started))
	}
	s.confirm()
	s.startCalls(now)
	s.finishCall(now, calls[0], successOutcome(calls[0])) // started before the stall
	for name, q := range s.services {
		if m := q.meter; m.made > before[name].made || m.nominal > before[name].nominal {
			t.Errorf("%s: measured %.0f of %.0f pieces", name, m.made, m.nominal)
		}
	}
}

// TestLowShareDoesNotOutlastItsCause has a service recover at once after its upstreams completed almost nothing for a
// while: some seconds later all calls of the usual load are in time. A share that stays low while the service is not
// busy would let so few calls in that it never becomes busy, and so is never measured again.
func TestLowShareDoesNotOutlastItsCause(t *testing.T) {
	if testing.Short() { // one goroutine: the race detector finds nothing here, and takes minutes
		t.Skip("the load model is played without the race detector only")
	}
	play := func(low bool) float64 {
		return meanInTime(func(seed uint64) float64 {
			m := newHardLoadModel(seed)
			m.traffic(hardChats, 0, 14*time.Second, 110)
			m.after(4*time.Second, func() {
				if q := m.owner.services["catalog"]; low {
					q.meter.made, q.meter.nominal = 0, 2*q.nominalThroughput()
				}
			})
			m.run(25 * time.Second)
			return m.inTime(9*time.Second, 14*time.Second)
		})
	}
	usual, after := play(false), play(true)
	t.Logf("in time %.3f usually, %.3f from 5 s after a share of 0.1", usual, after)
	if after < usual-0.02 {
		t.Errorf("in time %.3f from 5 s after a share of 0.1, %.3f usually", after, usual)
	}
}

// TestLostUpstreamsLowerTheThroughputAtOnce guards against estimates that count upstreams that are gone.
func TestLostUpstreamsLowerTheThroughputAtOnce(t *testing.T) {
	q := newHardLoadModel(1).owner.services["catalog"]
	before := q.throughput(0, 0)
	var left []wire.Member
	for i := range 5 {
		left = append(left, wire.Member{ID: wire.MemberID(fmt.Sprintf("catalog-%02d", i)), Service: "catalog", Direct: "x"})
	}
	q.setWorkers(left)
	if got := q.throughput(0, 0); math.Abs(got-before/3) > 0.01*before {
		t.Errorf("%.0f pieces a second with 5 of 15 upstreams, %.0f before", got, before)
	}
}

// TestThroughputIsShown checks the metric of the expected throughput.
func TestThroughputIsShown(t *testing.T) {
	s, now := fleetOwner(90)
	q := s.services["catalog"]
	q.meter.play(now, repeated(100, meterStep{100 * time.Millisecond, true, q.nominalThroughput(), int(q.nominalThroughput() / 20)}))
	s.setGauges(now.Add(time.Hour))
	if got, want := mapValue(throughputVar, "catalog"), q.nominalThroughput()/2; math.Abs(float64(got)-want) > 0.1*want {
		t.Errorf("%d pieces a second, want about %.0f", got, want)
	}
}

// TestRefusalNamesTheBottleneck checks the service that the log line of a refused job names: the one with the longest
// time, and none if nothing was estimated.
func TestRefusalNamesTheBottleneck(t *testing.T) {
	s, now := fleetOwner(90)
	q := s.services["catalog"]
	q.setWorkers(q.members[:1])
	refused := false
	for i := range 200 {
		s.submit(now, fleetJob(i), func(_ Result, err error) { refused = refused || err != nil })
	}
	if !refused || s.lastService != "catalog" {
		t.Errorf("refused %v because of %q", refused, s.lastService)
	}
	s.submit(now, Job{SubmissionID: "x", TimeLeft: time.Second, Stages: []Stage{{Service: "unknown", Pieces: 1}}}, func(Result, error) {})
	if s.lastService != "" {
		t.Errorf("without an estimate: %q", s.lastService)
	}
}

// TestEstimatesWithoutMeasuredThroughput guards against a meter that changes estimates while the setting is off: they go
// by how full calls are.
func TestEstimatesWithoutMeasuredThroughput(t *testing.T) {
	s, now := fleetOwner(90)
	s.measured = false
	q := s.services["catalog"]
	q.meter.play(now, repeated(100, meterStep{100 * time.Millisecond, true, q.nominalThroughput(), 0}))
	if got, want := q.expectedThroughput(), initialShare*q.nominalThroughput(); math.Abs(got-want) > 1e-6 {
		t.Errorf("%.1f pieces a second, want %.1f", got, want)
	}
	q.efficiency = 0.5
	if got, want := q.expectedThroughput(), q.nominalThroughput()/2; math.Abs(got-want) > 1e-6 {
		t.Errorf("%.1f pieces a second with calls that are half full, want %.1f", got, want)
	}
}
