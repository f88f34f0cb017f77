package planner

import (
	"math"
	"time"

	"caperdrum.org/node/state"
)

// serviceHistory holds the planner's state of one service.
type serviceHistory struct {
	recentNeed   slidingMax
	slot         int // slot of the day to which peak belongs; valid if started
	peak         float64
	started      bool
	smoothedLoad float64 // exponential moving average of the load with time constant smoothingTime
	smoothedAt   time.Time
}

const (
	day                     = 24 * time.Hour
	slotLength              = day / state.ForecastSlots
	smoothingTime           = 30 * time.Second
	peakDecayWeight         = 0.3 // of the new peak when it is below the learned one; a higher peak replaces it
	forecastUnitsPerAttempt = 1000
)

func slotOf(t time.Time) int { return int(t.Sub(t.Truncate(day)) / slotLength) }

// smoothLoad updates the moving average of the load, so that neither a queue that builds up while engines
// load nor a short peak counts as demand.
func (m *serviceHistory) smoothLoad(now time.Time, load float64) {
	if m.smoothedAt.IsZero() {
		m.smoothedLoad = load
	} else {
		m.smoothedLoad += (load - m.smoothedLoad) * (1 - math.Exp(-now.Sub(m.smoothedAt).Seconds()/smoothingTime.Seconds()))
	}
	m.smoothedAt = now
}

// updateForecast tracks the peak of the smoothed load in the current slot of the day. When the slot ends, it
// returns the slot's new value: a higher peak is taken over at once, a lower one by an exponentially weighted
// average.
func (m *serviceHistory) updateForecast(now time.Time, service string, learned []uint32) []state.ForecastSlot {
	load := m.smoothedLoad
	slot := slotOf(now)
	if m.started && slot == m.slot {
		m.peak = max(m.peak, load)
		return nil
	}
	ended, peak, whole := m.slot, m.peak, m.started
	m.slot, m.peak, m.started = slot, load, true
	if !whole {
		return nil
	}
	old := 0.0
	if ended < len(learned) {
		old = float64(learned[ended]) / forecastUnitsPerAttempt
	}
	if peak < old {
		peak = old + peakDecayWeight*(peak-old)
	}
	value := uint32(math.Round(peak * forecastUnitsPerAttempt))
	if ended < len(learned) && learned[ended] == value {
		return nil
	}
	return []state.ForecastSlot{{Service: service, Slot: ended, Peak: value}}
}

// forecastPeak returns the largest learned load of the slots between now and now plus lead.
func forecastPeak(learned []uint32, now time.Time, lead time.Duration) float64 {
	if len(learned) < state.ForecastSlots {
		return 0
	}
	peak := learned[slotOf(now)]
	for d := slotLength; d < lead && d < day; d += slotLength {
		peak = max(peak, learned[slotOf(now.Add(d))])
	}
	return float64(max(peak, learned[slotOf(now.Add(lead))])) / forecastUnitsPerAttempt
}

// slidingMax tracks the maximum of a series over a sliding time window.
type slidingMax struct {
	points []point // in order of time, with strictly decreasing values
}

type point struct {
	at    time.Time
	value int
}

// push adds a value and returns the maximum over the last span.
func (s *slidingMax) push(now time.Time, value int, span time.Duration) int {
	for len(s.points) > 0 && s.points[len(s.points)-1].value <= value {
		s.points = s.points[:len(s.points)-1]
	}
	s.points = append(s.points, point{now, value})
	for now.Sub(s.points[0].at) > span {
		s.points = s.points[1:]
	}
	return s.points[0].value
}
