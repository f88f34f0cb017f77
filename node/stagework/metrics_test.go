package stagework

import (
	"errors"
	"expvar"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// value is a counter's value, zero where it has not counted yet.
func value(m *expvar.Map, name string) int64 {
	if v, ok := m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// TestCallsAreCounted makes a call before a whole one waits: its piece is counted and its
// places are not, and what the owner holds is shown.
func TestCallsAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	calls, pieces, places, taken := value(callsVar, "a"), value(piecesVar, "a"), value(batchSlotsVar, "a"), value(batchSlotsUsedVar, "a")
	c := newTwoStages()
	c.toSecond(services["a"].Batch) // a call of one piece; there is no room for another
	g.Expect(value(callsVar, "a") - calls).To(gomega.BeEquivalentTo(1))
	g.Expect(value(piecesVar, "a") - pieces).To(gomega.BeEquivalentTo(1))
	g.Expect(value(batchSlotsVar, "a") - places).To(gomega.BeEquivalentTo(0))
	g.Expect(value(batchSlotsUsedVar, "a") - taken).To(gomega.BeEquivalentTo(0))
	c.s.setGauges(c.now)
	g.Expect(value(waitingVar, "a")).To(gomega.BeEquivalentTo(services["a"].Batch))
	g.Expect(activeJobsVar.Value()).To(gomega.BeEquivalentTo(1 + services["a"].Batch))
}

// TestOutcomesOfJobs names how jobs end.
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
