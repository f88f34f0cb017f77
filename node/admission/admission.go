// Package admission decides at once whether an entry accepts a request: within the customer's rate and share,
// the entry's own limits, and, under overload, the operators' shed order.
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

// Params are the dependencies of the Service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Sync     *configsync.Service `name:"configsync"`
}

// Limits bound one entry.
type Limits struct {
	InFlight int   // concurrent requests
	Bytes    int64 // total size of the bodies of all requests in flight; zero means no limit
}

// Service is the admission control of one entry. It is safe for concurrent use.
type Service struct {
	limits Limits
	shed   *shedder

	mu        sync.Mutex
	entries   int // live entries, which divide each customer's rate equally
	inFlight  int
	bytes     int64
	customers map[string]*customerState
}

type customerState struct {
	limiter     limiter
	rate        float64 // of this entry, in requests per second; zero means no limit
	inFlight    int
	share       float64
	lastRequest time.Time
}

const (
	fairShareThreshold = 0.5             // of Limits.InFlight in use, from which customers are held to their shares
	activeWindow       = 5 * time.Second // how long after a request a customer counts in the division of shares
	retryAfter         = time.Second
	bodyBytesFactor    = 64 // Limits.Bytes as a multiple of the maximum body size
)

var refusedVar = expvar.NewMap("admission_refused") // by cause

// New returns the Service of this entry. It follows the number of live entries.
func New(p Params) *Service {
	s := NewWithLimits(Limits{InFlight: p.Settings.Entry.MaxInFlight, Bytes: bodyBytesFactor * p.Settings.Entry.MaxBodyBytes})
	p.Sync.OnChange(func(v *configsync.View) { s.SetEntries(countEntries(v)) })
	return s
}

// NewWithLimits returns a Service with the given limits that assumes a single entry.
func NewWithLimits(l Limits) *Service {
	return &Service{limits: l, entries: 1, shed: newShedder(), customers: map[string]*customerState{}}
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

// SetEntries sets how many live entries divide the customers' rates. Less than one counts as one.
func (s *Service) SetEntries(n int) {
	s.mu.Lock()
	s.entries = max(n, 1)
	s.mu.Unlock()
}

// Report records that an attempt was sent to a service or, if refused is set, that a gate refused one for
// lack of capacity.
func (s *Service) Report(service string, refused bool) {
	s.shed.report(service, refused, time.Now())
}

// Admit admits a customer's request with a body of size bytes, or refuses it with the verdict not run. The
// caller must call release when an admitted request has ended; further calls of it do nothing.
func (s *Service) Admit(c *optext.Customer, w Work, size int) (release func(), refusal *verdict.Error) {
	now := time.Now()
	if overloaded := s.shed.admit(c, w, now); overloaded != "" {
		return nil, refuse("brownout", verdict.CodeOverloaded, retryAfter, "service %s is overloaded and customer %s exceeds its part", overloaded, c.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cu := s.stateOf(c, now)
	if refusal := s.checkLimits(c, cu, size, now); refusal != nil {
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

func (s *Service) release(cu *customerState, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.bytes -= int64(size)
	cu.inFlight--
}

// stateOf returns the customer's state with its rate for this entry, an equal part for each live entry. The
// caller holds mu.
func (s *Service) stateOf(c *optext.Customer, now time.Time) *customerState {
	cu := s.customers[c.Name]
	if cu == nil {
		cu = &customerState{}
		s.customers[c.Name] = cu
	}
	cu.share, cu.lastRequest = c.Share, now
	if rate := c.Rate / float64(s.entries); rate != cu.rate {
		cu.rate = rate
		if rate > 0 {
			cu.limiter.set(rate, int(rate))
		}
	}
	return cu
}

// checkLimits checks the entry's own limits. Above fairShareThreshold, a customer may hold no more than its
// share among the active customers. The caller holds mu.
func (s *Service) checkLimits(c *optext.Customer, cu *customerState, size int, now time.Time) *verdict.Error {
	switch {
	case s.inFlight >= s.limits.InFlight:
		return refuse("entry-full", verdict.CodeOverloaded, retryAfter, "this entry serves %d requests already", s.inFlight)
	case s.limits.Bytes > 0 && s.bytes+int64(size) > s.limits.Bytes:
		return refuse("entry-bytes", verdict.CodeOverloaded, retryAfter, "this entry holds %d bytes of requests already", s.bytes)
	case float64(s.inFlight) < fairShareThreshold*float64(s.limits.InFlight):
		return nil
	case float64(cu.inFlight) >= s.fairShare(cu, now)*float64(s.limits.InFlight):
		return refuse("share", verdict.CodeCustomerLimit, retryAfter, "customer %s holds its share of this entry, which is busy", c.Name)
	}
	return nil
}

func (s *Service) fairShare(cu *customerState, now time.Time) float64 {
	sum := 0.0
	for _, other := range s.customers {
		if other.inFlight > 0 || now.Sub(other.lastRequest) < activeWindow {
			sum += other.share
		}
	}
	if sum <= 0 {
		return 1
	}
	return cu.share / sum
}
