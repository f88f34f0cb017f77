package routing

import (
	"sync/atomic"
	"time"
)

// Offer is what an engine serves. A nil list means anything.
type Offer struct {
	Models   []string
	Adapters []string
	Role     string // prefill, decode, or empty for both
}

// offer is what is known of an endpoint's offer: what it announced, and what
// its refusals showed.
type offer struct {
	announced    atomic.Pointer[Offer]
	lacks        atomic.Pointer[lack]
	leavingUntil atomic.Int64 // Unix nanoseconds
}

// lack remembers that an endpoint did not know a model.
type lack struct {
	model string
	until int64 // Unix nanoseconds
}

const (
	lackTime    = 10 * time.Second // a refused model is asked for again after this
	leavingTime = 3 * time.Second  // by then the members list says the same
)

// SetOffer notes what the endpoint announced; nil means anything.
func (e *Endpoint) SetOffer(o *Offer) { e.offer.announced.Store(o) }

// Lacks notes that the endpoint answered that it does not know a model.
func (e *Endpoint) Lacks(model string) {
	e.offer.lacks.Store(&lack{model, time.Now().Add(lackTime).UnixNano()})
}

// Leaves notes that the endpoint's gate refused because its upstream leaves.
func (e *Endpoint) Leaves() { e.offer.leavingUntil.Store(time.Now().Add(leavingTime).UnixNano()) }
