// Package eligibility says which upstreams of its service may take a call at all. Everything that selects an upstream,
// or predicts which one will be selected, filters by a call's Constraint first; what comes after is preference.
package eligibility

import (
	"slices"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

// Constraint restricts the upstreams of a call. The zero value allows all.
type Constraint struct {
	// Within lists the data centres in which the call may run.
	Within residency.AllowedDataCenters `json:"within,omitzero"`
	// Version is the software version at which the call's stream began, and at which alone it may go on; nil if it
	// has not begun. Upstreams that report none have the version "".
	Version *string `json:"version,omitempty"`
}

// Restricted reports whether there is an upstream that the constraint does not allow.
func (c Constraint) Restricted() bool { return c.Within.Restricted || c.Version != nil }

// Pinned reports whether the call may go to upstreams of one software version only. The choice between versions is
// then made, also during a rollout.
func (c Constraint) Pinned() bool { return c.Version != nil }

// Allows reports whether the upstream may take the call.
func (c Constraint) Allows(m wire.Member) bool {
	return c.Within.Contains(m.DataCenter) && (c.Version == nil || *c.Version == m.Version)
}

// Filter returns the upstreams that may take the call. It does not change the list.
func (c Constraint) Filter(list []wire.Member) []wire.Member {
	if !c.Restricted() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(m wire.Member) bool { return !c.Allows(m) })
}
