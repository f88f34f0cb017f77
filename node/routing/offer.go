package routing

import (
	"strings"
	"sync/atomic"
	"time"

	"caperdrum.org/api/wire"
)

// Offer is what an engine serves. A nil list means anything.
type Offer struct {
	Models   []string
	Adapters []string
	Role     string // prefill, decode, or empty for both

	listedModels map[string]bool // names that the lists speak about; nil means all names
}

// lacks reports whether the lists rule a model out. A name that the operators'
// text does not give to the service's engines may stand for any that is held.
func (o *Offer) rulesOut(model string) bool {
	return !listAllows(o.Models, model) && (o.listedModels == nil || o.listedModels[model])
}

// offer is what is known of an endpoint's offer: what it announced, and what
// its refusals showed.
type offer struct {
	announced    atomic.Pointer[Offer]
	missing      atomic.Pointer[missingModel]
	leavingUntil atomic.Int64 // Unix nanoseconds
}

// lack remembers that an endpoint did not know a model.
type missingModel struct {
	model string
	until int64 // Unix nanoseconds
}

const (
	missingModelTTL = 10 * time.Second // a refused model is asked for again after this
	leavingTTL      = 3 * time.Second  // by then the members list says the same
)

// offerOf returns what the member announced that its upstream holds, or nil
// for one that takes no orders. An adapter is asked for under its own name.
func offerOf(m wire.Member, named map[string]bool) *Offer {
	if m.Holds == "" {
		return nil
	}
	o := &Offer{listedModels: named}
	for part := range strings.SplitSeq(m.Holds, ",") {
		o.Models = append(o.Models, servedName(part))
	}
	return o
}

// servedName returns the name that a request gives for an artifact.
func servedName(artifact string) string {
	a := wire.ParseArtifact(artifact)
	if a.Adapter != "" {
		return a.Adapter
	}
	return a.Model
}

// namesOf returns the names under which requests ask for the artifacts.
func servedNames(artifacts []string) map[string]bool {
	names := map[string]bool{}
	for _, a := range artifacts {
		names[servedName(a)] = true
	}
	return names
}

// sameButHolds reports whether two records differ at most in what the upstream
// holds. Such a change leaves the endpoint's counters as they are.
func equalExceptHolds(a, b wire.Member) bool {
	a.Holds, a.Revision = b.Holds, b.Revision
	return a == b
}

// SetOffer notes what the endpoint announced; nil means anything.
func (e *Endpoint) SetOffer(o *Offer) { e.offer.announced.Store(o) }

// Lacks notes that the endpoint answered that it does not know a model.
func (e *Endpoint) Lacks(model string) {
	e.offer.missing.Store(&missingModel{model, time.Now().Add(missingModelTTL).UnixNano()})
}

// Leaves notes that the endpoint's gate refused because its upstream leaves.
func (e *Endpoint) Leaves() { e.offer.leavingUntil.Store(time.Now().Add(leavingTTL).UnixNano()) }
