package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
)

const (
	admitQuantile     = 0.5 // a request is refused if the median time no longer fits
	remainingQuantile = 0.1 // a running request is ended only if even a fast remainder does not fit
	probeInterval     = time.Second
)

// probeLimiter admits a request per pipeline and probeInterval that the estimates would refuse, so that
// estimates which became wrong are corrected.
type probeLimiter struct{ m sync.Map }

func (p *probeLimiter) allow(pipeline string) bool {
	v, _ := p.m.LoadOrStore(pipeline, &atomic.Int64{})
	last := v.(*atomic.Int64)
	now := time.Now().UnixNano()
	old := last.Load()
	return now-old >= int64(probeInterval) && last.CompareAndSwap(old, now)
}

// remainingTimes returns, for each stage, the estimated time from its start to the end of the request: its
// own time and the longest path of stages after it.
func (p *pipelineRun) remainingTimes(q float64) map[string]time.Duration {
	list := p.r.Pipeline.Stages
	behind := make(map[string]time.Duration, len(list))
	out := make(map[string]time.Duration, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		st := list[i]
		d, _ := p.estimate(st).quantile(p.size, q)
		out[st.Name] = d + behind[st.Name]
		for _, earlier := range st.After {
			behind[earlier] = max(behind[earlier], out[st.Name])
		}
	}
	return out
}

func (p *pipelineRun) estimate(st *optext.Stage) *estimate {
	return p.s.estimates.get(p.r.Pipeline.Name + "/" + st.Name)
}

// refuseLate refuses a request that is not expected to finish in time, before any stage runs.
func (p *pipelineRun) refuseLate() error {
	left := time.Until(p.r.Deadline)
	if left <= 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline has passed").WithRetryAfter(defaultRetryAfter)
	}
	if !p.r.Pipeline.RefuseLate {
		return nil
	}
	need := time.Duration(0)
	for _, d := range p.remainingTimes(admitQuantile) {
		need = max(need, d)
	}
	if need <= left || p.s.probes.allow(p.r.Pipeline.Name) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met: pipeline %s takes about %s, %s are left",
		p.r.Pipeline.Name, need.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(max(need-left, defaultRetryAfter))
}

// stageDeadline returns the stage's own deadline. It returns an error if the stages that remain no longer fit
// into the request's deadline.
func (p *pipelineRun) stageDeadline(st *optext.Stage) (time.Time, error) {
	if !p.r.Pipeline.RefuseLate {
		return p.r.Deadline, nil
	}
	ahead := p.remainingTimes(remainingQuantile)[st.Name]
	if len(st.After) > 0 && time.Now().Add(ahead).After(p.r.Deadline) {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met any more").WithRetryAfter(defaultRetryAfter)
	}
	own, _ := p.estimate(st).quantile(p.size, remainingQuantile)
	return p.r.Deadline.Add(own - ahead), nil
}
