package admission

import (
	"sync"
	"time"

	"caperdrum.org/api/optext"
)

// brownout decides how much of the less urgent work is shed. Each service has
// a level that rises while its gates refuse for lack of capacity and falls
// when they do not. A pipeline of order n is shed in part while the level is
// between n-1 and n, and wholly from n on.
type brownout struct {
	mu       sync.Mutex
	services map[string]*serviceLevel
}

type serviceLevel struct {
	refused, all float64 // of the current period
	since        time.Time
	level        float64
}

const (
	period        = 250 * time.Millisecond
	idlePeriods   = 40 // after as many periods without a report the level is zero
	overloadShare = 0.05
	levelUp       = 0.25
	levelDown     = 0.05
	minReports    = 4
	maxLevel      = 2 // orders above are never shed unless the text names them
)

func newBrownout() *brownout { return &brownout{services: map[string]*serviceLevel{}} }

func (b *brownout) report(service string, overloaded bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.services[service]
	if l == nil {
		l = &serviceLevel{since: now}
		b.services[service] = l
	}
	l.roll(now)
	l.all++
	if overloaded {
		l.refused++
	}
}

// roll ends the period when it is over and adjusts the level.
func (l *serviceLevel) roll(now time.Time) {
	passed := int(now.Sub(l.since) / period)
	if passed < 1 {
		return
	}
	if passed > idlePeriods {
		l.level = 0
	} else if l.all >= minReports && l.refused > overloadShare*l.all {
		l.level = min(l.level+levelUp, maxLevel)
	} else {
		l.level = max(l.level-levelDown*float64(passed), 0)
	}
	l.refused, l.all, l.since = 0, 0, now
}

// share returns the share of a pipeline's requests to shed now: the greatest
// that one of its services asks for.
func (b *brownout) share(p *optext.Pipeline, now time.Time) float64 {
	order := shedOrder(p)
	if order < 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := 0.0
	for _, st := range p.Stages {
		if l := b.services[st.Service]; l != nil {
			l.roll(now)
			worst = max(worst, l.level-float64(order-1))
		}
	}
	return min(worst, 1)
}

// Orders of classes whose pipelines name none.
const (
	neverShed        = -1
	orderDeferrable  = 1
	orderInteractive = 2
)

func shedOrder(p *optext.Pipeline) int {
	if p.ShedOrder != 0 {
		return p.ShedOrder
	}
	switch optext.Class(p.Class) {
	case optext.Deferrable:
		return orderDeferrable
	case optext.Interactive:
		return orderInteractive
	default:
		return neverShed
	}
}
