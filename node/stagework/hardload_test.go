package stagework

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// modelOutage is how the submitting processes of a load model behave while there is no owner, as Service.Run does.
type modelOutage struct {
	m       *loadModel
	refused int // calls that found no owner for too long
}

// wait looks for an owner again after ownerRetryInterval, and refuses the call once it has found none for
// newOwnerTimeout.
func (o *modelOutage) wait(c *modelCall) {
	m := o.m
	if c.ownerless.IsZero() {
		c.ownerless = m.now
	}
	if m.now.Sub(c.ownerless) <= newOwnerTimeout {
		m.after(ownerRetryInterval, func() { m.submit(c) })
		return
	}
	o.refused++
	err := o.refusal(c)
	c.job.CompletedStages, c.job.Resubmitted, c.ownerless = nil, false, time.Time{}
	if !m.retryLater(c, err) {
		m.ended = append(m.ended, modelEnd{kind: c.kind.name, arrived: c.arrived, sent: c.sent(), refused: true})
	}
}

// refusal is the error of a call that found no owner.
func (o *modelOutage) refusal(c *modelCall) error {
	wait := spreadRetryAfter(o.m.rand.Float64())
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no owner").WithRetryAfter(wait)
}

// sent is when the caller sent the call last.
func (c *modelCall) sent() time.Time {
	if c.retriedAt.IsZero() {
		return c.arrived
	}
	return c.retriedAt
}

// loseOwnerAndControl drops the owner with its state; no other one can be assigned for the gap.
func (m *loadModel) loseOwnerAndControl(gap time.Duration) {
	m.owner = nil
	lost := m.waiting
	m.waiting = map[string]*modelCall{}
	for _, handed := range slices.Sorted(maps.Keys(lost)) {
		c := lost[handed]
		c.job.CompletedStages, c.job.Resubmitted = m.submissions.end(handed), true
		m.submit(c)
	}
	m.after(gap, func() { m.replaceOwner(true) })
}

// hardServices, hardCounts and the kinds below describe deployment B of docs/design/hard-load.md.
var (
	hardServices = map[string]*optext.Service{
		"front":   {Name: "front", Direct: optext.Direct{Batch: 8, Calls: 1, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, ResultRoom: 9_600_000, ResultTTL: 4 * time.Second}},
		"catalog": {Name: "catalog", Direct: optext.Direct{Batch: 24, Calls: 1, CallTime: 240 * time.Millisecond, PieceTime: 8600 * time.Microsecond, ResultRoom: 2_700_000, ResultTTL: 4 * time.Second}},
		"courier": {Name: "courier", Direct: optext.Direct{Batch: 30, Calls: 1, CallTime: 240 * time.Millisecond, PieceTime: 6900 * time.Microsecond, ResultRoom: 330_000, ResultTTL: 4 * time.Second}},
	}
	hardCounts = map[string]int{"front": 19, "catalog": 15, "courier": 18, "llm": 60}

	hardQuotes = modelKind{name: "quotes", goal: 1500 * time.Millisecond, left: 12 * time.Second, shared: 2000, own: 2000, distinctParts: 200, retries: true,
		stages: func(r *rand.Rand) []Stage {
			return []Stage{{Service: "front", Pieces: 1 + r.IntN(4), ResultBytes: 800_000}}
		}}
	hardChats = modelKind{name: "chats", goal: 2 * time.Second, left: 12 * time.Second, shared: 198, own: 628, distinctParts: 400, retries: true, stages: hardChain}
	hardBatch = modelKind{name: "batch", goal: 4 * time.Second, left: 6 * time.Second, shared: 198, own: 628, distinctParts: 400, retries: true, priority: 1, stages: hardChain}
)

func hardChain(r *rand.Rand) []Stage {
	return []Stage{{Service: "front", Pieces: 1, ResultBytes: 8000}, {Service: "catalog", DependsOn: []int{0}, Pieces: 4, ResultBytes: 60_000},
		{Service: "courier", DependsOn: []int{1}, Pieces: 3 + r.IntN(7), ResultBytes: 6000}}
}

func newHardLoadModel(seed uint64) *loadModel {
	m := newLoadModel(seed)
	m.specs, m.members, m.outage = hardServices, map[string][]wire.Member{}, &modelOutage{m: m}
	for service, n := range hardCounts {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", service, i)
			m.members[service] = append(m.members[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: id, DataCenter: fmt.Sprint("dc", i%3)})
		}
	}
	m.replaceOwner(false)
	return m
}
