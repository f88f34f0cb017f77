package stagework

import (
	"math"
	"time"

	"caperdrum.org/node/fairshare"
)

const (
	// maxTrackedCustomers bounds the memory of a service and the time of a decision.
	maxTrackedCustomers = 256
	// allocationInterval is how long an allocation is used before it is computed again.
	allocationInterval = 100 * time.Millisecond
	// overShareFactor is how far above its allocation a customer may be admitted. It keeps the rule from affecting a
	// customer that is at its share.
	overShareFactor = 1.1
	// minUnderShareLate is the number of recent jobs of other customers, late while these were under their
	// allocations, from which on the rule applies. It keeps single late jobs from activating the rule.
	minUnderShareLate = 5.0
	// maxReferenceAge is the age of a reference time at which sums are rescaled: e^20, 5e8, leaves enough digits.
	maxReferenceAge = 20 * rateWindow
	// forgottenPieces is the decayed number of submitted pieces below which a customer is no longer tracked. One piece
	// falls below it in 14 s.
	forgottenPieces = 0.001
	// maxUntrackedWeight bounds the weight of the untracked customers together.
	maxUntrackedWeight = 1e6
	// shareTolerance is the relative rounding error of sums of pieces.
	shareTolerance = 1e-9
)

// fairness decides which jobs go behind others because their customers have more than their fair share of a service
// while jobs of others are late. A nil *fairness puts none behind and counts nothing.
type fairness struct {
	services   map[string]*serviceShares
	throughput func(service string) float64 // in pieces a second, of the service under load
}

func newFairness(throughput func(service string) float64) *fairness {
	return &fairness{services: map[string]*serviceShares{}, throughput: throughput}
}

// loadedThroughput is the number of pieces a second that a service makes while pieces wait. Room for results does not
// bound it: that depends on the kind of call.
func (s *scheduler) loadedThroughput(service string) float64 {
	return s.services[service].throughput(0, 0)
}

// serviceShares counts the jobs at one service by customer. All sums decay with rateWindow. They are kept in
// units of the reference time, in which older events keep their value and newer ones count e^(age/rateWindow), so that
// no sum changes while nothing is counted. at must be called first to get the unit of the present.
type serviceShares struct {
	throughput func() float64 // in pieces a second
	reference  time.Time
	customers  map[string]int // index in sums
	sums       []customerSums // at most maxTrackedCustomers
	untracked  customerSums   // of all customers that are not in sums
	admitted   float64        // pieces of all customers
	late       float64        // jobs of all customers, late while these were under their allocations
	allocation fairshare.Allocation
	allocated  time.Time          // when allocation was computed; zero: not since the reference time
	demands    []fairshare.Demand // buffer of allocate
}

// customerSums are the sums of one customer.
type customerSums struct {
	customer  string
	weight    float64
	submitted float64 // pieces
	admitted  float64 // pieces
	late      float64 // jobs, late while the customer was under its allocation
}

func (c *customerSums) demand() fairshare.Demand {
	return fairshare.Demand{Customer: c.customer, Weight: c.weight, Amount: c.submitted}
}

// judge counts a job that is late because of the service lateAt, or in time (empty), and returns the service at which its
// customer is over its share, so that the job must go behind others; empty: none.
func (f *fairness) judge(now time.Time, j *job, lateAt string) (overShareAt string) {
	if f == nil {
		return ""
	}
	for i, st := range j.Stages {
		pieces := j.piecesAt(i)
		if pieces == 0 {
			continue
		}
		shares := f.shares(st.Service)
		unit := shares.at(now)
		c := shares.submit(j.Customer, j.shareWeight(), pieces*unit)
		switch {
		case st.Service == lateAt:
			shares.countLate(now, c, pieces*unit, unit)
		case lateAt == "" && overShareAt == "" && shares.over(now, c, pieces*unit, unit):
			overShareAt = st.Service
		}
	}
	switch {
	case overShareAt != "":
		overShareVar.Add(overShareAt, 1)
	case lateAt == "":
		f.countAdmitted(now, j)
	}
	return overShareAt
}

// countAdmitted counts a submitted job as admitted at all its services.
func (f *fairness) countAdmitted(now time.Time, j *job) {
	for i, st := range j.Stages {
		if pieces := j.piecesAt(i); pieces > 0 {
			shares := f.shares(st.Service)
			amount := pieces * shares.at(now)
			shares.sums[shares.customers[j.Customer]].admitted += amount
			shares.admitted += amount
		}
	}
}

// piecesAt is the number of the job's pieces at the service of a stage, at the first stage there; zero at later ones.
func (j *job) piecesAt(stage int) float64 {
	sum := 0
	for i, st := range j.Stages {
		if st.Service != j.Stages[stage].Service {
			continue
		}
		if i < stage {
			return 0
		}
		sum += st.Pieces
	}
	return float64(sum)
}

// shareWeight is the weight of the job's customer.
func (j *job) shareWeight() float64 {
	if j.Weight > 0 && !math.IsInf(j.Weight, 1) {
		return j.Weight
	}
	return 1
}

func (f *fairness) shares(service string) *serviceShares {
	s := f.services[service]
	if s == nil {
		s = &serviceShares{customers: map[string]int{}, throughput: func() float64 { return f.throughput(service) }}
		f.services[service] = s
	}
	return s
}

// at returns the unit of the present: what one piece that is counted now adds to a sum.
func (s *serviceShares) at(now time.Time) float64 {
	if now.Sub(s.reference) > maxReferenceAge {
		s.rescale(now)
	}
	return math.Exp(now.Sub(s.reference).Seconds() / rateWindow.Seconds())
}

// rescale moves the reference time to now, and forgets customers that have not submitted anything for long.
func (s *serviceShares) rescale(now time.Time) {
	factor := math.Exp(-now.Sub(s.reference).Seconds() / rateWindow.Seconds())
	s.reference, s.allocated = now, time.Time{}
	s.admitted *= factor
	s.late *= factor
	s.untracked.scale(factor)
	kept := s.sums[:0]
	clear(s.customers)
	for _, c := range s.sums {
		if c.scale(factor); c.submitted >= forgottenPieces {
			s.customers[c.customer] = len(kept)
			kept = append(kept, c)
		} else {
			s.untracked.add(c)
		}
	}
	clear(s.sums[len(kept):])
	s.sums = kept
}

func (c *customerSums) scale(factor float64) {
	c.submitted *= factor
	c.admitted *= factor
	c.late *= factor
}

func (c *customerSums) add(other customerSums) {
	c.submitted += other.submitted
	c.admitted += other.admitted
	c.late += other.late
}

// submit counts submitted pieces. A customer that is not tracked takes the place of the tracked one with the smallest
// demand for its weight, which is the least likely to be over its share: the largest customers stay tracked.
func (s *serviceShares) submit(customer string, weight, amount float64) *customerSums {
	i, tracked := s.customers[customer]
	if !tracked {
		i = s.place()
		s.sums[i] = customerSums{customer: customer}
		s.customers[customer] = i
	}
	c := &s.sums[i]
	c.weight = weight
	c.submitted += amount
	return c
}

// place returns a free place in sums.
func (s *serviceShares) place() int {
	if len(s.sums) < maxTrackedCustomers {
		s.sums = append(s.sums, customerSums{})
		return len(s.sums) - 1
	}
	smallest, least := 0, math.Inf(1)
	for i := range s.sums {
		if ratio := s.sums[i].submitted / s.sums[i].weight; ratio < least {
			smallest, least = i, ratio
		}
	}
	s.untracked.add(s.sums[smallest])
	delete(s.customers, s.sums[smallest].customer)
	return smallest
}

// countLate counts a late job if its customer would have stayed within its allocation with it.
func (s *serviceShares) countLate(now time.Time, c *customerSums, amount, unit float64) {
	s.allocate(now)
	if c.admitted+amount <= s.allocation.Of(c.demand())*(1+shareTolerance) {
		c.late += unit
		s.late += unit
	}
}

// over reports whether a customer would have more than its share with a job, while jobs of others that have less than
// theirs are late. A customer that was recently admitted less than this job asks for is never over its share: where the
// shares of thousands of customers are smaller than one job, all of them would be over it.
func (s *serviceShares) over(now time.Time, c *customerSums, amount, unit float64) bool {
	if c.admitted < amount || s.late-c.late < minUnderShareLate*unit {
		return false
	}
	s.allocate(now)
	return c.admitted+amount > overShareFactor*s.allocation.Of(c.demand())
}

// allocate computes the allocation, unless that was done less than allocationInterval ago. The capacity is what was
// admitted in time, or what the service makes under load if that is more: with the former alone each job put behind by the
// rule lowers the next allocation, and the customer that bursts stays behind until the late jobs of others have decayed.
func (s *serviceShares) allocate(now time.Time) {
	if !s.allocated.IsZero() && now.Sub(s.allocated) < allocationInterval {
		return
	}
	s.allocated = now
	s.demands = s.demands[:0]
	least := math.Inf(1)
	for i := range s.sums {
		d := s.sums[i].demand()
		s.demands = append(s.demands, d)
		least = min(least, d.Amount/d.Weight)
	}
	if u := s.untracked.submitted; u > 0 {
		// The untracked customers count as so many that each asks for as much as the smallest tracked one.
		s.demands = append(s.demands, fairshare.Demand{Weight: u / max(least, u/maxUntrackedWeight), Amount: u})
	}
	s.allocation = fairshare.MaxMin(max(s.admitted, s.throughput()*rateWindow.Seconds()*s.at(now)), s.demands)
}
