package configsync

import (
	"slices"
	"sort"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
)

// View is an immutable picture of the configuration and the members. Version
// is zero, and Config empty, until the first change was accepted.
type View struct {
	Config    *optext.Config
	Version   uint64
	Text      string
	Hash      uint64 // xxhash64 of Text
	Seq       uint64
	Members   map[wire.MemberID]wire.Member
	ByService map[string][]wire.Member // agents that are not leaving, by service, sorted by id
	Owner     wire.StageOwner
	Announced map[string][]wire.Member // announced upstreams that are not leaving, likewise
	// Evacuations name the data centres whose upstreams are in neither ByService nor Announced.
	Evacuations wire.Evacuations
	// Suspects are calls that end upstreams.
	Suspects wire.Suspects
	// Rollouts of services; upstreams of versions that they exclude are not in Announced.
	Rollouts wire.Rollouts

	ends []int // where the sections of Text end
}

func emptyView() View {
	return View{Config: &optext.Config{}, Members: map[wire.MemberID]wire.Member{}}
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
	members := make(map[wire.MemberID]wire.Member, len(v.Members)+len(d.Changed))
	if !d.Whole {
		for id, m := range v.Members {
			members[id] = m
		}
	}
	for _, m := range d.Changed {
		members[m.ID] = m
	}
	for _, id := range d.Removed {
		delete(members, id)
	}
	v.Members, v.Seq = members, d.To
	v.index()
	return nil
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

// index makes the lists of those that get calls.
func (v *View) index() {
	v.ByService, v.Announced = map[string][]wire.Member{}, map[string][]wire.Member{}
	evacuated := v.Evacuations.Out()
	for _, m := range v.Members {
		switch {
		case m.Service == "" || m.Leaving || slices.Contains(evacuated, m.DataCenter):
		case m.Direct != "":
			v.Announced[m.Service] = append(v.Announced[m.Service], m)
		default:
			v.ByService[m.Service] = append(v.ByService[m.Service], m)
		}
	}
	v.exclude()
	sortByID(v.ByService)
	sortByID(v.Announced)
}

// exclude takes upstreams out that a roll-out has decided against. Those of a version that was
// replaced stay while there are no others: they have served well. Those of one that was rolled
// back never do.
func (v *View) exclude() {
	for _, r := range v.Rollouts.List {
		list := v.Announced[r.Service]
		kept := slices.DeleteFunc(slices.Clone(list), func(m wire.Member) bool { return r.Excludes(m.Version) })
		if len(kept) > 0 || r.State == wire.RolloutRolledBack {
			v.Announced[r.Service] = kept
		}
	}
}

func sortByID(lists map[string][]wire.Member) {
	for _, list := range lists {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}
