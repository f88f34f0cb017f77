// Package admission decides at once whether an entry takes a request: within
// the customer's rate and share, the entry's own limits, and the operators'
// order of what to shed first when there is too much work.
package admission

import (
	"expvar"
	"strings"
	"sync"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/settings"
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Sync     *configsync.Service `name:"configsync"`
}

// Limits bound one entry.
type Limits struct {
	InFlight int   // requests at a time
	Bytes    int64 // of their bodies, together
}

// Service is the admission of one entry.
type Service struct {
	limits Limits
	shed   *shedder

	mu        sync.Mutex
	entries   int // live entries, which share every customer's rate
	inFlight  int
	bytes     int64
	customers map[string]*customer
}

type customer struct {
	limiter  limiter
	rate     float64 // of this entry
	inFlight int
	share    float64
	seen     time.Time
}

const (
	fairFrom   = 0.5             // of the entry's places: above, no customer may exceed its share of them
	activeFor  = 5 * time.Second // a customer counts for the shares this long after a request
	comeBack   = time.Second
	bytesTimes = 64 // default limit of all bodies, in bodies of the greatest size
)

var refusedVar = expvar.NewMap("admission_refused") // by cause

// New returns the service, which follows the number of entries.
func New(p Params) *Service {
	s := NewWith(Limits{InFlight: p.Settings.Entry.MaxInFlight, Bytes: bytesTimes * p.Settings.Entry.MaxBodyBytes})
	p.Sync.OnChange(func(v *configsync.View) { s.SetEntries(countEntries(v)) })
	return s
}

// NewWith returns a service with the given limits for a single entry.
func NewWith(l Limits) *Service {
	return &Service{limits: l, entries: 1, shed: newShedder(), customers: map[string]*customer{}}
}

func countEntries(v *configsync.View) int {
	n := 0
	for m := range v.Members.All() {
		if strings.Contains(m.Role, string(settings.Entry)) && !m.Leaving {
			n++
		}
	}
	return n
}

// SetEntries sets how many live entries share the customers' rates.
func (s *Service) SetEntries(n int) {
	s.mu.Lock()
	s.entries = max(n, 1)
	s.mu.Unlock()
}

// Report tells that an attempt is sent to a service, or, with refused set, that
// one was refused for lack of capacity.
func (s *Service) Report(service string, refused bool) {
	s.shed.report(service, refused, time.Now())
}

// Admit takes a request of a customer with a body of the given size, or
// refuses it as not run. Release must be called when an admitted request has
// ended.
func (s *Service) Admit(c *optext.Customer, w Work, size int) (release func(), refusal *verdict.Error) {
	now := time.Now()
	if scarce := s.shed.admit(c, w, now); scarce != "" {
		return nil, refuse("brownout", verdict.CodeOverloaded, comeBack, "service %s is overloaded and customer %s exceeds its part", scarce, c.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cu := s.customer(c, now)
	if refusal := s.full(c, cu, size, now); refusal != nil {
		return nil, refusal
	}
	if cu.rate > 0 {
		if ok, wait := cu.limiter.take(now); !ok {
			return nil, refuse("rate", verdict.CodeCustomerLimit, wait, "customer %s exceeds its %g requests a second", c.Name, c.Rate)
		}
	}
	s.inFlight++
	s.bytes += int64(size)
	cu.inFlight++
	var once sync.Once
	return func() { once.Do(func() { s.release(cu, size) }) }, nil
}

func refuse(cause string, code verdict.Code, wait time.Duration, format string, args ...any) *verdict.Error {
	refusedVar.Add(cause, 1)
	return verdict.New(verdict.NotRun, code, format, args...).WithRetryAfter(wait)
}

func (s *Service) release(cu *customer, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.bytes -= int64(size)
	cu.inFlight--
}

// customer returns the customer's state, with its rate for this entry: an
// equal part for every live entry.
func (s *Service) customer(c *optext.Customer, now time.Time) *customer {
	cu := s.customers[c.Name]
	if cu == nil {
		cu = &customer{}
		s.customers[c.Name] = cu
	}
	cu.share, cu.seen = c.Share, now
	if rate := c.Rate / float64(s.entries); rate != cu.rate {
		cu.rate = rate
		if rate > 0 {
			cu.limiter.set(rate, int(rate))
		}
	}
	return cu
}

// full checks the entry's own limits. While many places are taken, a customer
// may hold no more than its share among the active ones.
func (s *Service) full(c *optext.Customer, cu *customer, size int, now time.Time) *verdict.Error {
	switch {
	case s.inFlight >= s.limits.InFlight:
		return refuse("entry-full", verdict.CodeOverloaded, comeBack, "this entry serves %d requests already", s.inFlight)
	case s.limits.Bytes > 0 && s.bytes+int64(size) > s.limits.Bytes:
		return refuse("entry-bytes", verdict.CodeOverloaded, comeBack, "this entry holds %d bytes of requests already", s.bytes)
	case float64(s.inFlight) < fairFrom*float64(s.limits.InFlight):
		return nil
	case float64(cu.inFlight) >= s.fairShare(cu, now)*float64(s.limits.InFlight):
		return refuse("share", verdict.CodeCustomerLimit, comeBack, "customer %s holds its share of this entry, which is busy", c.Name)
	}
	return nil
}

func (s *Service) fairShare(cu *customer, now time.Time) float64 {
	sum := 0.0
	for _, other := range s.customers {
		if other.inFlight > 0 || now.Sub(other.seen) < activeFor {
			sum += other.share
		}
	}
	if sum <= 0 {
		return 1
	}
	return cu.share / sum
}
