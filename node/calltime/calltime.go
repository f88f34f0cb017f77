// Package calltime estimates how long calls take from those that have ended.
package calltime

import (
	"sync"
	"time"
)

// weight is the weight of one call in the averages: the last dozen calls determine most of them.
const weight = 0.1

// Times holds the estimates of kinds of calls by name. Its zero value is ready to use, by any number of goroutines.
type Times struct {
	mu     sync.Mutex
	byName map[string]*estimate
}

// estimate is the moving average of durations and of their deviations from it.
type estimate struct{ mean, deviation time.Duration }

// Record adds a call that took d.
func (t *Times) Record(name string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byName[name]
	if e == nil {
		if t.byName == nil {
			t.byName = map[string]*estimate{}
		}
		t.byName[name] = &estimate{mean: d}
		return
	}
	off := d - e.mean
	e.mean += time.Duration(weight * float64(off))
	e.deviation += time.Duration(weight * float64(off.Abs()-e.deviation))
}

// deviations is how many mean deviations above the mean Most is, as with the retransmission timeout of TCP.
const deviations = 4

// Most returns a duration that few calls exceed; zero if none has ended.
func (t *Times) Most(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byName[name]; e != nil {
		return e.mean + deviations*e.deviation
	}
	return 0
}

// Retain drops the estimates of all other names.
func (t *Times) Retain(used map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.byName {
		if !used[name] {
			delete(t.byName, name)
		}
	}
}
