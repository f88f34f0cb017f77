package admission

import (
	"sort"
	"sync"
	"time"

	"caperdrum.org/api/optext"
)

// shedder decides which requests are shed at the entry, before any stage runs. For each service it tracks the
// demand of this entry's callers and the attempts that gates accept. While gates refuse attempts for lack of
// capacity, the entry admits only slightly more than they accept, so that no work of earlier stages and no
// idempotency claims are wasted on requests that a later stage refuses. Admissions are divided between
// customers by weighted max-min fairness, as in core routers without per-flow queues (Stoica, Shenker and
// Zhang, "Core-Stateless Fair Queueing", 1998). Within a customer's part, pipelines with a lower shed order
// are shed first.
type shedder struct {
	mu       sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service as this entry sees it. Rates are in requests per period.
type serviceLoad struct {
	since         time.Time
	sent, refused float64 // attempts in the current period
	budget        float64 // requests to admit per period; zero means no limit
	demand        map[demandKey]*demand
}

type demandKey struct {
	customer string
	order    int
}

// demand is one customer's demand for a service in one shed order.
type demand struct {
	share      float64
	requests   float64 // in the current period
	rate       float64 // exponential moving average of requests per period
	admitRatio float64 // part of the requests to admit, 0 to 1
	credit     float64 // sum of admitRatio over requests: a request is admitted for each whole unit
	grant      float64 // requests per period that may be admitted
	savedGrant float64 // unused grant of earlier periods, admits bursts
}

const (
	period        = 200 * time.Millisecond
	idlePeriods   = 50   // periods without a report after which the load is unknown
	overloadRatio = 0.03 // of attempts refused, above which a service is overloaded
	minAttempts   = 4
	headroom      = 1.05 // admitted per accepted attempt under overload, so that gates never idle
	budgetGrowth  = 1.05 // of the budget per period without overload
	minBudget     = 0.5  // requests per period, so that the end of an overload is noticed
	demandWeight  = 0.5  // of the last period in a demand's moving average
	budgetWeight  = 0.5  // of the last overloaded period in the budget's moving average
	maxSavedGrant = 4    // requests
	minRate       = 0.01 // requests per period, below which a demand is dropped
)

func newShedder() *shedder { return &shedder{services: map[string]*serviceLoad{}} }

func (s *shedder) loadOf(service string, now time.Time) *serviceLoad {
	l := s.services[service]
	if l == nil {
		l = &serviceLoad{since: now, demand: map[demandKey]*demand{}}
		s.services[service] = l
	}
	l.rollPeriod(now)
	return l
}

// report records that an attempt was sent or, if overloaded is set, that one was refused. An attempt counts
// as accepted unless it is refused, as its answer may take long.
func (s *shedder) report(service string, overloaded bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadOf(service, now)
	if overloaded {
		l.refused++
		return
	}
	l.sent++
}

// admit counts a request and admits it, or returns the name of the overloaded service because of which it is
// shed.
func (s *shedder) admit(c *optext.Customer, w Work, now time.Time) (overloaded string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := demandKey{c.Name, w.ShedOrder}
	var tightest *demand
	for _, name := range w.Services {
		d := s.loadOf(name, now).addRequest(key, c.Share)
		if d.admitRatio < 1 && (tightest == nil || d.admitRatio < tightest.admitRatio) {
			tightest, overloaded = d, name
		}
	}
	if tightest == nil {
		return ""
	}
	tightest.credit += tightest.admitRatio
	switch {
	case tightest.credit >= 1:
		tightest.credit--
	case tightest.savedGrant >= 1:
		tightest.savedGrant--
	default:
		return overloaded
	}
	return ""
}

// addRequest counts one request. A new demand is fully admitted until the period ends.
func (l *serviceLoad) addRequest(key demandKey, share float64) *demand {
	d := l.demand[key]
	if d == nil {
		d = &demand{admitRatio: 1, savedGrant: maxSavedGrant}
		l.demand[key] = d
	}
	d.share = max(share, minRate)
	d.requests++
	return d
}

// rollPeriod starts a new period if the current one is over.
func (l *serviceLoad) rollPeriod(now time.Time) {
	periods := float64(int(now.Sub(l.since) / period))
	if periods < 1 {
		return
	}
	l.since = now
	l.updateDemand(periods)
	if periods > idlePeriods {
		l.budget = 0
	} else {
		l.adjustBudget(periods)
	}
	l.sent, l.refused = 0, 0
	l.allocateBudget()
}

func (l *serviceLoad) updateDemand(periods float64) {
	for key, d := range l.demand {
		if d.rate == 0 {
			d.rate = d.requests / periods
		}
		d.rate += demandWeight * (d.requests/periods - d.rate)
		if periods > idlePeriods {
			d.rate = 0
		}
		d.savedGrant = min(d.savedGrant+max(d.grant*periods-d.requests, 0), maxSavedGrant)
		d.requests = 0
		if d.rate < minRate {
			delete(l.demand, key)
		}
	}
}

// adjustBudget sets the budget from the attempts that gates accepted while they refused others, and lets it
// grow when they did not refuse.
func (l *serviceLoad) adjustBudget(periods float64) {
	if l.sent >= minAttempts && l.refused > overloadRatio*l.sent {
		accepted := max((l.sent-l.refused)/periods*headroom, minBudget)
		if l.budget == 0 {
			l.budget = accepted
		}
		l.budget += budgetWeight * (accepted - l.budget)
		return
	}
	l.budget *= budgetGrowth
}

// allocateBudget divides the budget between the demands. Everything is admitted without overload, or if the
// budget covers the demand.
func (l *serviceLoad) allocateBudget() {
	sum, exempt := 0.0, 0.0
	customers := map[string]*customerDemand{}
	for key, d := range l.demand {
		d.admitRatio, d.grant = 1, maxSavedGrant
		sum += d.rate
		if key.order == neverShed {
			exempt += d.rate
			continue
		}
		c := customers[key.customer]
		if c == nil {
			c = &customerDemand{share: d.share}
			customers[key.customer] = c
		}
		c.rate += d.rate
		c.demands = append(c.demands, orderedDemand{key.order, d})
	}
	if l.budget > 2*sum {
		l.budget = 0
	}
	if l.budget == 0 || l.budget >= sum {
		return
	}
	level := waterLevel(customers, max(l.budget-exempt, 0))
	for _, c := range customers {
		c.allocate(level * c.share)
	}
}

// customerDemand is one customer's total demand for a service.
type customerDemand struct {
	share, rate float64
	demands     []orderedDemand
}

type orderedDemand struct {
	order int
	*demand
}

// allocate divides the customer's budget between its demands, highest shed order first.
func (c *customerDemand) allocate(budget float64) {
	sort.Slice(c.demands, func(i, j int) bool { return c.demands[i].order > c.demands[j].order })
	for _, d := range c.demands {
		d.admitRatio, d.grant = min(budget/d.rate, 1), budget
		budget = max(budget-d.rate, 0)
	}
}

// waterLevel returns the level at which the budget is used up if each customer gets its rate, but at most the
// level times its share (max-min fairness by water-filling).
func waterLevel(customers map[string]*customerDemand, budget float64) float64 {
	list := make([]*customerDemand, 0, len(customers))
	shares := 0.0
	for _, c := range customers {
		list = append(list, c)
		shares += c.share
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rate/list[i].share < list[j].rate/list[j].share })
	for _, c := range list {
		if c.rate/c.share >= budget/shares {
			break
		}
		budget -= c.rate
		shares -= c.share
	}
	return budget / shares
}
