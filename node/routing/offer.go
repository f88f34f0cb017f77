package routing

import (
	"strings"
	"sync/atomic"
	"time"

	"caperdrum.org/api/wire"
)

// Offer lists what an engine serves. A nil list means anything.
type Offer struct {
	Models   []string
	Adapters []string
	Role     string // prefill, decode, or empty for both

	listedModels map[string]bool // names for which the lists are complete; nil means all names
}

// rulesOut reports whether the engine certainly lacks the model. A name that the
// configuration does not list for the service may be an alias of any held model.
func (o *Offer) rulesOut(model string) bool {
	return !listAllows(o.Models, model) && (o.listedModels == nil || o.listedModels[model])
}

// offer is what is known about an endpoint's models: what it announced, and what its
// refusals revealed.
type offer struct {
	announced    atomic.Pointer[Offer]
	missing      atomic.Pointer[missingModel]
	leavingUntil atomic.Int64 // Unix nanoseconds
}

// missingModel records that an endpoint refused a request for an unknown model.
type missingModel struct {
	model string
	until int64 // Unix nanoseconds
}

const (
	missingModelTTL = 10 * time.Second // time after which a refused model is requested again
	leavingTTL      = 3 * time.Second  // by then the member list shows the upstream as leaving
)

// offerOf returns what the member announced that its upstream holds, or nil for a
// member that takes no orders. Adapters are requested by their own names.
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

// servedName returns the name by which requests refer to an artifact.
func servedName(artifact string) string {
	a := wire.ParseArtifact(artifact)
	if a.Adapter != "" {
		return a.Adapter
	}
	return a.Model
}

// servedNames returns the names by which requests refer to the artifacts.
func servedNames(artifacts []string) map[string]bool {
	names := map[string]bool{}
	for _, a := range artifacts {
		names[servedName(a)] = true
	}
	return names
}

// equalExceptHolds reports whether two records differ at most in the artifacts that the
// upstream holds. Such a change must not reset the endpoint's counters.
func equalExceptHolds(a, b wire.Member) bool {
	a.Holds, a.Revision = b.Holds, b.Revision
	return a == b
}

// SetOffer sets what the endpoint announced; nil means anything.
func (e *Endpoint) SetOffer(o *Offer) { e.offer.announced.Store(o) }

// SetModelMissing records that the endpoint answered that it does not know the model.
func (e *Endpoint) SetModelMissing(model string) {
	e.offer.missing.Store(&missingModel{model, time.Now().Add(missingModelTTL).UnixNano()})
}

// SetLeaving records that the endpoint's gate refused because its upstream is leaving.
func (e *Endpoint) SetLeaving() { e.offer.leavingUntil.Store(time.Now().Add(leavingTTL).UnixNano()) }
