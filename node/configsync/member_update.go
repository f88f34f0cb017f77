package configsync

import (
	"slices"

	"caperdrum.org/api/wire"
)

// Kinds of lists of a view.
const (
	agents = iota
	announced
	peers
	listKinds
)

// peerList is the name of the one list of peers.
const peerList = "proxies"

// placesOf returns the lists in which a member stands, by kind; an empty name is none. Those that get calls
// are not leaving, and their data centres are not evacuated.
func listsOf(m wire.Member, evacuated []string) (places [listKinds]string) {
	if m.Peer != "" {
		places[peers] = peerList
	}
	if m.Service == "" || m.Leaving || slices.Contains(evacuated, m.DataCenter) {
		return places
	}
	kind := agents
	if m.Direct != "" {
		kind = announced
	}
	places[kind] = m.Service
	return places
}

// update changes a view's members one by one.
type memberUpdate struct {
	v         *View
	evacuated []string
	lists     [listKinds]lists
	owned     [listKinds]map[string]bool // lists that belong to this update
}

func (u *memberUpdate) put(m wire.Member) {
	var before [listKinds]string
	if old, known := u.v.Members.Get(m.ID); known {
		before = listsOf(old, u.evacuated)
	}
	u.v.Members = u.v.Members.With(m)
	u.move(before, listsOf(m, u.evacuated), m)
}

func (u *memberUpdate) remove(id wire.MemberID) {
	old, known := u.v.Members.Get(id)
	if !known {
		return
	}
	u.v.Members = u.v.Members.Without(id)
	u.move(listsOf(old, u.evacuated), [listKinds]string{}, old)
}

func (u *memberUpdate) move(before, after [listKinds]string, m wire.Member) {
	for kind := range listKinds {
		u.lists[kind].change(before[kind], after[kind], m, u.owned[kind])
	}
}

// exclude makes Announced of the lists that touched names, or of all where it is nil: without upstreams that
// a roll-out has decided against. Those of a version that was replaced stay while there are no others: they
// have served well. Those of one that was rolled back never do.
func (v *View) filterAnnounced(touched map[string]bool) {
	if touched == nil {
		v.Announced = cloneLists(v.announced)
	} else {
		v.Announced = cloneLists(v.Announced)
		for service := range touched {
			delete(v.Announced, service)
			if list := v.announced[service]; len(list) > 0 {
				v.Announced[service] = list
			}
		}
	}
	for _, r := range v.Rollouts.List {
		if r.Running() || touched != nil && !touched[r.Service] {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(v.announced[r.Service]), func(m wire.Member) bool { return r.Excludes(m.Version) })
		if len(kept) > 0 || r.State == wire.RolloutRolledBack {
			v.Announced[r.Service] = kept
		}
	}
}
