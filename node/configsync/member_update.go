package configsync

import (
	"slices"

	"caperdrum.org/api/wire"
)

// Kinds of lists in a view.
const (
	agents = iota
	announced
	peers
	listKinds
)

// peerList is the name of the only list of peers.
const peerList = "proxies"

// listsOf returns the names of the lists that contain a member, by kind; an empty name stands for none.
// Members that are leaving, or in an evacuated data centre, are not in the lists of those that get calls.
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

// memberUpdate applies changes of single members to a view.
type memberUpdate struct {
	v         *View
	evacuated []string
	lists     [listKinds]lists
	owned     [listKinds]map[string]bool // lists that were copied for this update
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

// filterAnnounced rebuilds the lists of Announced named in touched, or all of them if it is nil, without the
// upstreams of versions that rollouts exclude. Upstreams of a replaced version stay while there are no
// others, since that version is known to work. Upstreams of a version that was rolled back are always
// removed.
func (v *View) filterAnnounced(touched map[string]bool) {
	if touched == nil {
		v.Announced = cloneLists(v.AllVersions)
	} else {
		v.Announced = cloneLists(v.Announced)
		for service := range touched {
			delete(v.Announced, service)
			if list := v.AllVersions[service]; len(list) > 0 {
				v.Announced[service] = list
			}
		}
	}
	for _, r := range v.Rollouts.List {
		if r.Running() || touched != nil && !touched[r.Service] {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(v.AllVersions[r.Service]), func(m wire.Member) bool { return r.Excludes(m.Version) })
		if len(kept) > 0 || r.State == wire.RolloutRolledBack {
			v.Announced[r.Service] = kept
		}
	}
}
