package admission

import (
	"sort"
	"sync"
	"time"

	"caperdrum.org/api/optext"
)

// shedder decides how much work is shed at the entry, before any stage runs.
// For every service it follows what the entry's callers demand and what the
// gates take. While gates refuse for lack of capacity, the entry admits little
// more than they took, so that earlier stages and claims are not spent on
// requests that a later stage refuses. What is admitted is divided among the
// customers by weighted max-min fairness, as by routers that keep no queue per
// flow (Stoica, Shenker and Zhang, "Core-Stateless Fair Queueing", 1998);
// within a customer's part the pipelines of a lower shed order go first.
type shedder struct {
	mu       sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is one service's load as this entry sees it. Rates are in
// requests per period.
type serviceLoad struct {
	since         time.Time
	sent, refused float64 // attempts of the current period
	budget        float64 // requests to admit per period; zero admits all
	demand        map[demandKey]*demand
}

type demandKey struct {
	customer string
	order    int
}

// demand is what one customer asks of a service in one shed order.
type demand struct {
	share      float64
	requests   float64 // requests of the current period
	rate       float64 // moving average over periods
	admitRatio float64 // admitted part
	credit     float64 // admits the part evenly: a request passes when it reaches one
	grant      float64 // requests per period that the customer may have admitted
	savedGrant float64 // what it left of earlier grants: lets a burst pass
}

const (
	period        = 200 * time.Millisecond
	idlePeriods   = 50   // after as many periods without a report nothing is known
	overloadRatio = 0.03 // of attempts refused: above, the gates have too much work
	minAttempts   = 4
	headroom      = 1.05 // admitted over what was taken: gates must not run dry
	budgetGrowth  = 1.05 // of the budget in a period without overload
	minBudget     = 0.5  // requests a period, so that an end of the overload is seen
	demandWeight  = 0.5  // of the last period in a demand's rate
	budgetWeight  = 0.5  // of the last overloaded period in the budget
	maxSavedGrant = 4    // requests
	minRate       = 0.01 // a demand below is forgotten
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

// report takes in that an attempt is sent, or that one was refused. What was
// sent and not refused counts as taken at once: an answer may take long.
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

// admit notes a request, and returns the name of a service for whose sake it is
// shed, or nothing.
func (s *shedder) admit(c *optext.Customer, w Work, now time.Time) (overloaded string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := demandKey{c.Name, w.Order}
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

// want counts one request. A demand not known yet is admitted whole until the
// period ends.
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

// roll ends the period when it is over.
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

// adjust sets the budget by what the gates took when they refused, and lets it
// grow when they did not.
func (l *serviceLoad) adjustBudget(periods float64) {
	if l.sent >= minAttempts && l.refused > overloadRatio*l.sent {
		took := max((l.sent-l.refused)/periods*headroom, minBudget)
		if l.budget == 0 {
			l.budget = took
		}
		l.budget += budgetWeight * (took - l.budget)
		return
	}
	l.budget *= budgetGrowth
}

// divide sets the admitted part of every demand. Without overload, or when the
// budget exceeds the demand, all is admitted.
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

// customerDemand is what one customer asks of a service.
type customerDemand struct {
	share, rate float64
	demands     []orderedDemand
}

type orderedDemand struct {
	order int
	*demand
}

// spend admits the customer's demands, those that are shed last first.
func (c *customerDemand) allocate(budget float64) {
	sort.Slice(c.demands, func(i, j int) bool { return c.demands[i].order > c.demands[j].order })
	for _, d := range c.demands {
		d.admitRatio, d.grant = min(budget/d.rate, 1), budget
		budget = max(budget-d.rate, 0)
	}
}

// fillLevel returns the rate per share at which the customers' rates, each cut
// at the level times its share, make up the budget.
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
