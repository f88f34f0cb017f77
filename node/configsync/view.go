package configsync

import (
	"slices"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

// View is an immutable snapshot of the configuration and the members. Version is zero, and Config empty,
// until the first change was accepted.
type View struct {
	Config     *optext.Config
	Version    uint64
	Text       string
	Hash       uint64 // xxhash64 of Text
	MembersSeq uint64
	Members    memberset.Set
	Proxies    []wire.Member            // proxies, sorted by ID
	Agents     map[string][]wire.Member // agents that are not leaving, by service, sorted by ID
	Owner      wire.StageOwner
	Announced  map[string][]wire.Member // announced upstreams that are not leaving, likewise
	// Evacuations contains the evacuated data centres. Their upstreams are in neither Agents nor
	// Announced.
	Evacuations wire.Evacuations
	// Suspects contains calls under which upstreams crashed.
	Suspects wire.Suspects
	// Rollouts contains the rollouts of services. Upstreams of versions that they exclude are not in
	// Announced.
	Rollouts wire.Rollouts
	// AllVersions is like Announced, and includes versions that Rollouts exclude: a stream goes on only at the
	// version at which it began.
	AllVersions map[string][]wire.Member

	ends []int // end offsets of the sections of Text
}

func emptyView() View {
	return View{Config: &optext.Config{}}
}

// errIncompleteUpdate says that a reply cannot be applied to the current view.
var errIncompleteUpdate = errors.New("configsync: the member delta does not apply to the current list")

func (v *View) applyMembers(d *wire.MembersDelta) error {
	if d == nil || d.To <= v.MembersSeq {
		return nil
	}
	if !d.Whole && d.From != v.MembersSeq {
		return errors.Annotatef(errIncompleteUpdate, "from %d to %d, current %d", d.From, d.To, v.MembersSeq)
	}
	if d.Whole {
		v.Members, v.MembersSeq = memberset.Of(d.Changed...), d.To
		v.rebuildLists()
		return nil
	}
	v.MembersSeq = d.To
	v.applyMemberChanges(d.Changed, d.Removed)
	return nil
}

// applyMemberChanges applies changes of single members. Its cost is independent of the number of members,
// except for copying the lists that change.
func (v *View) applyMemberChanges(changed []wire.Member, removed []wire.MemberID) {
	u := memberUpdate{v: v, evacuated: v.Evacuations.Evacuated(), owned: [listKinds]map[string]bool{{}, {}, {}}}
	u.lists = [listKinds]lists{agents: cloneLists(v.Agents), announced: cloneLists(v.AllVersions), peers: {peerList: v.Proxies}}
	for _, m := range changed {
		u.put(m)
	}
	for _, id := range removed {
		u.remove(id)
	}
	v.Agents, v.AllVersions, v.Proxies = u.lists[agents], u.lists[announced], u.lists[peers][peerList]
	v.filterAnnounced(u.owned[announced])
}

// applyEvacuations applies newer evacuations. Upstreams in an evacuated data centre get no new calls, as if
// they were leaving, but data may still be fetched from them.
func (v *View) applyEvacuations(e *wire.Evacuations) {
	if e == nil || e.Revision <= v.Evacuations.Revision {
		return
	}
	v.Evacuations = *e
	v.rebuildLists()
}

func (v *View) applySuspects(s *wire.Suspects) {
	if s != nil && s.Revision > v.Suspects.Revision {
		v.Suspects = *s
	}
}

func (v *View) applyRollouts(r *wire.Rollouts) {
	if r == nil || r.Revision <= v.Rollouts.Revision {
		return
	}
	v.Rollouts = *r
	v.rebuildLists()
}

// ahead reports whether the view contains something newer than the sender of a reply knows.
func (v *View) ahead(r *wire.SyncReply) bool {
	return r.Version < v.Version || r.MembersSeq < v.MembersSeq || r.EvacuationsRevision < v.Evacuations.Revision ||
		r.SuspectsRevision < v.Suspects.Revision || r.RolloutsRevision < v.Rollouts.Revision
}

// behind reports whether the sender of a reply knows something newer than the view contains.
func (v *View) behind(r *wire.SyncReply) bool {
	return r.Version > v.Version || r.MembersSeq > v.MembersSeq || r.EvacuationsRevision > v.Evacuations.Revision ||
		r.SuspectsRevision > v.Suspects.Revision || r.RolloutsRevision > v.Rollouts.Revision
}

// differs reports whether the view differs from old in something that processes react to.
func (v *View) differs(old *View) bool {
	return v.Version != old.Version || v.MembersSeq != old.MembersSeq || v.Owner != old.Owner || v.Evacuations.Revision != old.Evacuations.Revision ||
		v.Suspects.Revision != old.Suspects.Revision || v.Rollouts.Revision != old.Rollouts.Revision
}

// rebuildLists computes all lists from Members.
func (v *View) rebuildLists() {
	v.Agents, v.AllVersions, v.Proxies = lists{}, lists{}, nil
	evacuated := v.Evacuations.Evacuated()
	all := [listKinds]lists{agents: v.Agents, announced: v.AllVersions, peers: {}}
	for m := range v.Members.All() {
		for kind, name := range listsOf(m, evacuated) {
			if name != "" {
				all[kind][name] = append(all[kind][name], m)
			}
		}
	}
	for _, l := range all {
		for _, list := range l {
			slices.SortFunc(list, func(a, b wire.Member) int { return compareID(a, b.ID) })
		}
	}
	v.Proxies = all[peers][peerList]
	v.Announced = nil
	v.filterAnnounced(nil)
}
