package stagework

import (
	"errors"
	"expvar"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// mapValue returns a counter of a map, zero if it does not exist yet.
func mapValue(m *expvar.Map, name string) int64 {
	if v, ok := m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// TestCallsAreCounted makes a call before another batch waits: its piece is counted but not its batch slots,
// and the gauges show what the owner holds.
func TestCallsAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	calls, pieces, places, taken := mapValue(callsVar, "a"), mapValue(piecesVar, "a"), mapValue(batchSlotsVar, "a"), mapValue(batchSlotsUsedVar, "a")
	c := newTwoStages()
	c.startSecondStage(services["a"].Batch) // a call of one piece; there is no room for another
	g.Expect(mapValue(callsVar, "a") - calls).To(gomega.BeEquivalentTo(1))
	g.Expect(mapValue(piecesVar, "a") - pieces).To(gomega.BeEquivalentTo(1))
	g.Expect(mapValue(batchSlotsVar, "a") - places).To(gomega.BeEquivalentTo(0))
	g.Expect(mapValue(batchSlotsUsedVar, "a") - taken).To(gomega.BeEquivalentTo(0))
	c.s.setGauges(c.now)
	g.Expect(mapValue(waitingVar, "a")).To(gomega.BeEquivalentTo(services["a"].Batch))
	g.Expect(activeJobsVar.Value()).To(gomega.BeEquivalentTo(1 + services["a"].Batch))
}

// TestOutcomesOfJobs checks the metric labels of ended jobs.
func TestOutcomesOfJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &job{goal: now}
	for _, c := range []struct {
		at     time.Time
		result Result
		err    error
		want   string
	}{{now, Result{}, nil, jobInTime}, {now.Add(1), Result{}, nil, jobLate}, {now, Result{}, errors.New("x"), jobFailed},
		{now, Result{}, errNotOwner(), jobMoved}, {now, Result{Moved: true}, nil, jobMoved}} {
		if got := j.outcomeOf(c.at, c.result, c.err); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

// TestPredictionsOfJobsAreCountedWithTheirPieces checks the metric labels that tell wrong predictions from right ones, and
// late work from work in time.
func TestPredictionsOfJobsAreCountedWithTheirPieces(t *testing.T) {
	g := gomega.NewWithT(t)
	inTime, late := mapValue(pieceLabelsVar, "a/in_time"), mapValue(pieceLabelsVar, "a/late")
	now := time.Unix(1000, 0)
	q := &serviceQueue{spec: services["a"]}
	onTime, overdue := &job{goal: now.Add(time.Minute), minRemaining: []time.Duration{0}}, &job{late: true, predictedLate: true, minRemaining: []time.Duration{0}, times: make([]stageTimes, 1)}
	onTime.Stages, overdue.Stages = []Stage{{Service: "a", Pieces: 2}}, []Stage{{Service: "a", Pieces: 1}}
	q.countCall(now, &call{pieces: []*piece{{job: onTime}, {job: onTime}}})
	overdue.recordStart(0, now, q)
	q.countCall(now, &call{pieces: []*piece{{job: overdue}}})
	g.Expect(mapValue(pieceLabelsVar, "a/in_time") - inTime).To(gomega.BeEquivalentTo(2))
	g.Expect(mapValue(pieceLabelsVar, "a/late") - late).To(gomega.BeEquivalentTo(1))
	g.Expect(overdue.passedBy()).To(gomega.Equal("0:2+0"))
	g.Expect([]string{onTime.prediction(), overdue.prediction()}).To(gomega.Equal([]string{jobInTime, jobLate}))
}

// TestWaitsAreCountedByRank checks the metrics that compare predicted and actual times of a rank, and name the service at which a
// goal passed.
func TestWaitsAreCountedByRank(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	j := &job{Job: Job{Priority: 3, RoutePriority: 1, Stages: []Stage{{Service: "a", Pieces: 1}, {Service: "b", Pieces: 1}}}, arrived: now.Add(-2 * time.Second), goal: now.Add(-time.Second), estimate: 700 * time.Millisecond,
		times: []stageTimes{{done: now.Add(-1500 * time.Millisecond)}, {done: now}}}
	counts := func() []int64 {
		return []int64{mapValue(rankPredictionsVar, "3.1/in_time/late"), mapValue(predictedTimeVar, "3.1"), mapValue(actualTimeVar, "3.1"), mapValue(goalPassedVar, "3.1/b")}
	}
	before := counts()
	j.countEnd(now, jobLate)
	for i, n := range []int64{1, 700, 2000, 1} {
		g.Expect(counts()[i] - before[i]).To(gomega.Equal(n))
	}
	j.countEnd(now, jobFailed) // has no actual time
	g.Expect(mapValue(actualTimeVar, "3.1") - before[2]).To(gomega.BeEquivalentTo(2000))
}
