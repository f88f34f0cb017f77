package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
)

const (
	admitQuantile = 0.5 // a request is refused when the usual time does not fit any more
	aheadQuantile = 0.1 // later it is given up only when even a quick rest does not fit
	probeInterval = time.Second
)

// probes lets a request pass now and then that the estimates speak against,
// so that estimates which have become wrong are found out.
type probes struct{ m sync.Map }

func (p *probes) take(pipeline string) bool {
	v, _ := p.m.LoadOrStore(pipeline, &atomic.Int64{})
	last := v.(*atomic.Int64)
	now := time.Now().UnixNano()
	old := last.Load()
	return now-old >= int64(probeInterval) && last.CompareAndSwap(old, now)
}

// ahead returns, for each stage, the estimated time from its start to the end
// of the request: its own time and the longest way behind it.
func (p *stages) ahead(q float64) map[string]time.Duration {
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

func (p *stages) estimate(st *optext.Stage) *estimate {
	return p.s.estimates.of(p.r.Pipeline.Name + "/" + st.Name)
}

// refuseLate refuses a request that cannot be expected to end in time, before
// any stage runs.
func (p *stages) refuseLate() error {
	left := time.Until(p.r.Deadline)
	if left <= 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline has passed").WithRetryAfter(comeBack)
	}
	if !p.r.Pipeline.RefuseLate {
		return nil
	}
	need := time.Duration(0)
	for _, d := range p.ahead(admitQuantile) {
		need = max(need, d)
	}
	if need <= left || p.s.probes.take(p.r.Pipeline.Name) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met: pipeline %s takes about %s, %s are left",
		p.r.Pipeline.Name, need.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(max(need-left, comeBack))
}

// giveUp ends a request between two stages when what is still ahead does not
// fit any more, and returns the stage's own deadline otherwise.
func (p *stages) giveUp(st *optext.Stage) (time.Time, error) {
	if !p.r.Pipeline.RefuseLate {
		return p.r.Deadline, nil
	}
	ahead := p.ahead(aheadQuantile)[st.Name]
	if len(st.After) > 0 && time.Now().Add(ahead).After(p.r.Deadline) {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline cannot be met any more").WithRetryAfter(comeBack)
	}
	own, _ := p.estimate(st).quantile(p.size, aheadQuantile)
	return p.r.Deadline.Add(own - ahead), nil
}
