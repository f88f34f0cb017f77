package configsync

import (
	"slices"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

// View is an immutable picture of the configuration and the members. Version
// is zero, and Config empty, until the first change was accepted.
type View struct {
	Config    *optext.Config
	Version   uint64
	Text      string
	Hash      uint64 // xxhash64 of Text
	Seq       uint64
	Members   memberset.Set
	Peers     []wire.Member            // proxies, sorted by id
	ByService map[string][]wire.Member // agents that are not leaving, by service, sorted by id
	Owner     wire.StageOwner
	Announced map[string][]wire.Member // announced upstreams that are not leaving, likewise
	// Evacuations name the data centres whose upstreams are in neither ByService nor Announced.
	Evacuations wire.Evacuations
	// Suspects are calls that end upstreams.
	Suspects wire.Suspects
	// Rollouts of services; upstreams of versions that they exclude are not in Announced.
	Rollouts wire.Rollouts

	announced lists // as Announced, with upstreams of versions that Rollouts exclude

	ends []int // where the sections of Text end
}

func emptyView() View {
	return View{Config: &optext.Config{}}
}

// errGap says that a member delta does not follow what is held.
var errGap = errors.New("configsync: the member delta does not follow the list held")

func (v *View) takeMembers(d *wire.MembersDelta) error {
	if d == nil || d.To <= v.Seq {
		return nil
	}
	if !d.Whole && d.From != v.Seq {
		return errors.Annotatef(errGap, "from %d to %d, held %d", d.From, d.To, v.Seq)
	}
	if d.Whole {
		v.Members, v.Seq = memberset.Of(d.Changed...), d.To
		v.index()
		return nil
	}
	v.Seq = d.To
	v.change(d.Changed, d.Removed)
	return nil
}

// change takes over single members. What it costs does not grow with the members, but for the
// copies of the lists that change.
func (v *View) change(changed []wire.Member, removed []wire.MemberID) {
	u := update{v: v, evacuated: v.Evacuations.Evacuated(), fresh: [listKinds]map[string]bool{{}, {}, {}}}
	u.lists = [listKinds]lists{agents: cloneLists(v.ByService), announced: cloneLists(v.announced), peers: {peerList: v.Peers}}
	for _, m := range changed {
		u.put(m)
	}
	for _, id := range removed {
		u.remove(id)
	}
	v.ByService, v.announced, v.Peers = u.lists[agents], u.lists[announced], u.lists[peers][peerList]
	v.exclude(u.fresh[announced])
}

// takeEvacuations takes over newer evacuations. What lies at upstreams of such a data centre
// may still be fetched from there; they get no new calls, as if they were leaving.
func (v *View) takeEvacuations(e *wire.Evacuations) {
	if e == nil || e.Revision <= v.Evacuations.Revision {
		return
	}
	v.Evacuations = *e
	v.index()
}

func (v *View) takeSuspects(s *wire.Suspects) {
	if s != nil && s.Revision > v.Suspects.Revision {
		v.Suspects = *s
	}
}

func (v *View) takeRollouts(r *wire.Rollouts) {
	if r == nil || r.Revision <= v.Rollouts.Revision {
		return
	}
	v.Rollouts = *r
	v.index()
}

// ahead reports whether the view holds something newer than an answer's sender knows.
func (v *View) ahead(r *wire.SyncReply) bool {
	return r.Version < v.Version || r.MembersSeq < v.Seq || r.EvacuationsRevision < v.Evacuations.Revision ||
		r.SuspectsRevision < v.Suspects.Revision || r.RolloutsRevision < v.Rollouts.Revision
}

// behind reports whether an answer's sender knows something newer than the view holds.
func (v *View) behind(r *wire.SyncReply) bool {
	return r.Version > v.Version || r.MembersSeq > v.Seq || r.EvacuationsRevision > v.Evacuations.Revision ||
		r.SuspectsRevision > v.Suspects.Revision || r.RolloutsRevision > v.Rollouts.Revision
}

// differs reports whether something that processes follow is another in old.
func (v *View) differs(old *View) bool {
	return v.Version != old.Version || v.Seq != old.Seq || v.Owner != old.Owner || v.Evacuations.Revision != old.Evacuations.Revision ||
		v.Suspects.Revision != old.Suspects.Revision || v.Rollouts.Revision != old.Rollouts.Revision
}

// index makes the lists anew.
func (v *View) index() {
	v.ByService, v.announced, v.Peers = lists{}, lists{}, nil
	evacuated := v.Evacuations.Evacuated()
	all := [listKinds]lists{agents: v.ByService, announced: v.announced, peers: {}}
	for m := range v.Members.All() {
		for kind, name := range placesOf(m, evacuated) {
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
	v.Peers = all[peers][peerList]
	v.Announced = nil
	v.exclude(nil)
}
