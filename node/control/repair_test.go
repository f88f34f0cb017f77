package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
)

const lastEntry = 1000

func peersOf(ids string) []consensus.Peer {
	var out []consensus.Peer
	for _, id := range strings.Fields(ids) {
		out = append(out, consensus.Peer{ID: consensus.NodeID(id), Address: "at-" + id[:1]})
	}
	return out
}

func idsOf(peers []consensus.Peer) string {
	var out []string
	for _, p := range peers {
		out = append(out, string(p.ID))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestPlanSteps checks single steps of plan. The leader is a; all others answer and hold every entry unless
// the case says otherwise.
func TestPlanSteps(t *testing.T) {
	cases := []struct {
		name, voters, learners, silent, idle, behind, spares string
		lag                                                  uint64 // of those in behind
		want                                                 int
		next, nextLearners                                   string // next is empty if there is no step
		done                                                 bool   // whether the report is empty
	}{
		{name: "complete", voters: "a b c", want: 3, done: true},
		{name: "one silent, no spare", voters: "a b c", silent: "c", want: 3},
		{name: "one silent, a spare", voters: "a b c", silent: "c", spares: "d", want: 3, next: "a b c", nextLearners: "d"},
		{name: "wiped disk returned at its address", voters: "a b c", silent: "c", spares: "c2", want: 3, next: "a b c", nextLearners: "c2"},
		{name: "replica of a wiped disk has caught up", voters: "a b c", learners: "c2", silent: "c", want: 3, next: "a b c c2"},
		{name: "replica of a wiped disk votes", voters: "a b c c2", silent: "c", want: 3, next: "a b c2"},
		{name: "learner far behind", voters: "a b c", learners: "d", silent: "c", behind: "d", lag: maxPromoteLag + 1, want: 3},
		{name: "learner nearly caught up", voters: "a b c", learners: "d", silent: "c", behind: "d", lag: maxPromoteLag, want: 3, next: "a b c d"},
		{name: "learner not recently active", voters: "a b c", learners: "d", silent: "c", idle: "d", want: 3},
		{name: "spare failed as a learner", voters: "a b c", learners: "d", silent: "c d", spares: "e", want: 3, next: "a b c"},
		{name: "promoted voter lacks entries", voters: "a b c d", silent: "c", behind: "d", lag: 1, want: 3},
		{name: "voter lacks entries", voters: "a b d", behind: "d", lag: 1, want: 3},
		{name: "two of five silent, the only spare votes", voters: "a b c d e f", silent: "d e", want: 5, next: "a b c e f"},
		{name: "two of five silent, one replaced, no spare", voters: "a b c e f", silent: "e", want: 5},
		{name: "two of five silent, one replaced, a spare", voters: "a b c e f", silent: "e", spares: "g", want: 5, next: "a b c e f", nextLearners: "g"},
		{name: "returned before its replacement votes", voters: "a b c", learners: "d", want: 3, next: "a b c"},
		{name: "returned after its replacement votes", voters: "a b c d", want: 3, next: "a b c"},
		{name: "returned after its replacement votes, lacks entries", voters: "a b c d", behind: "c", lag: 1, want: 3},
		{name: "too many, one not recently active", voters: "a b c d", idle: "c", want: 3},
		{name: "fewer than wanted", voters: "a", spares: "b c", want: 3, next: "a", nextLearners: "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			st := consensus.Status{ID: "a", LastIndex: lastEntry, Committed: lastEntry, Progress: map[consensus.NodeID]consensus.Progress{},
				Membership: consensus.Membership{Voters: peersOf(c.voters), Learners: peersOf(c.learners)}}
			silent := map[consensus.NodeID]bool{}
			for _, p := range st.Membership.All() {
				id := string(p.ID)
				silent[p.ID] = slices.Contains(strings.Fields(c.silent), id)
				pr := consensus.Progress{Match: lastEntry, RecentActive: !silent[p.ID] && !slices.Contains(strings.Fields(c.idle), id)}
				if slices.Contains(strings.Fields(c.behind), id) {
					pr.Match -= c.lag
				}
				st.Progress[p.ID] = pr
			}
			next, why := plan(st, peersOf(c.spares), silent, c.want, lastEntry)
			if next == nil {
				next = &consensus.Membership{}
			}
			if idsOf(next.Voters) != c.next || idsOf(next.Learners) != c.nextLearners || (why == "") != c.done {
				t.Fatalf("voters %q, learners %q, report %q", idsOf(next.Voters), idsOf(next.Learners), why)
			}
		})
	}
}

// planModel is a set of control VMs. Each runs at most one replica; a wiped disk gives the VM a new, empty
// one.
type planModel struct {
	want    int
	vms     []*modelVM
	members consensus.Membership
	silent  map[consensus.NodeID]bool
	last    uint64
}

type modelVM struct {
	id    consensus.NodeID
	wipes int
	up    bool
	match uint64
}

func (m *planModel) vm(id consensus.NodeID) *modelVM {
	for _, v := range m.vms {
		if v.id == id {
			return v
		}
	}
	return nil // wiped
}

func (m *planModel) up(id consensus.NodeID) bool {
	v := m.vm(id)
	return v != nil && v.up
}

func (m *planModel) liveVoters(ms consensus.Membership) (up, hold int) {
	for _, p := range ms.Voters {
		if m.up(p.ID) {
			up++
			if m.vm(p.ID).match >= m.last {
				hold++
			}
		}
	}
	return up, hold
}

func hasQuorum(up int, ms consensus.Membership) bool { return up > len(ms.Voters)/2 }

// leader returns the live voter that holds the most entries.
func (m *planModel) leader() *modelVM {
	var best *modelVM
	for _, p := range m.members.Voters {
		if m.up(p.ID) && (best == nil || m.vm(p.ID).match > best.match) {
			best = m.vm(p.ID)
		}
	}
	return best
}

// write commits entries at a quorum; the other members get them later.
func (m *planModel) write(n uint64) {
	up, hold := m.liveVoters(m.members)
	if !hasQuorum(up, m.members) || hold == 0 {
		return
	}
	m.last += n
	left := len(m.members.Voters)/2 + 1
	lead := m.leader()
	lead.match = m.last
	left--
	for _, p := range m.members.Voters {
		if v := m.vm(p.ID); left > 0 && v != nil && v != lead && v.up {
			v.match = m.last
			left--
		}
	}
}

func (m *planModel) catchUp() {
	for _, p := range m.members.All() {
		if m.up(p.ID) {
			m.vm(p.ID).match = m.last
		}
	}
}

// updateSilence lets the leader detect which members are silent.
func (m *planModel) updateSilence() {
	clear(m.silent)
	for _, p := range m.members.All() {
		m.silent[p.ID] = !m.up(p.ID)
	}
}

func (m *planModel) step(t *rapid.T) string {
	up, hold := m.liveVoters(m.members)
	lead := m.leader()
	if !hasQuorum(up, m.members) || lead.match < m.last {
		return "no quorum"
	}
	st := consensus.Status{ID: lead.id, LastIndex: m.last, Committed: m.last, Membership: m.members, Progress: map[consensus.NodeID]consensus.Progress{}}
	for _, p := range m.members.All() {
		if v := m.vm(p.ID); v != nil {
			st.Progress[p.ID] = consensus.Progress{Match: v.match, RecentActive: v.up}
		}
		if m.up(p.ID) {
			m.silent[p.ID] = false
		}
	}
	var spares []consensus.Peer
	for _, v := range m.vms {
		if v.up && !m.members.IsVoter(v.id) && !m.members.IsLearner(v.id) {
			spares = append(spares, consensus.Peer{ID: v.id})
		}
	}
	next, why := plan(st, spares, m.silent, m.want, m.last)
	if next == nil {
		if why == "" && hold < min(up, m.want) {
			t.Fatalf("reported complete with %d of %d voters up to date", hold, m.want)
		}
		return why
	}
	m.check(t, *next, hold)
	m.members = *next
	m.write(1) // the entry of the membership change
	return why
}

// canLose reports whether the other voters' disks form a quorum and hold what is committed.
func (m *planModel) canLose(lost *modelVM) bool {
	disks, hold := 0, 0
	for _, p := range m.members.Voters {
		if v := m.vm(p.ID); v != nil && v != lost {
			disks++
			if v.match >= m.last {
				hold++
			}
		}
	}
	return hasQuorum(disks, m.members) && hold > 0
}

func (m *planModel) check(t *rapid.T, next consensus.Membership, hold int) {
	changed := 0
	for _, p := range next.Voters {
		if !m.members.IsVoter(p.ID) {
			changed++
		}
	}
	for _, p := range m.members.Voters {
		if !next.IsVoter(p.ID) {
			changed++
		}
	}
	up, after := m.liveVoters(next)
	switch {
	case changed > 1:
		t.Fatalf("%d voters changed in one step", changed)
	case after < min(hold, m.want):
		t.Fatalf("%d voters held the state, now %d do", hold, after)
	case len(next.Voters) < len(m.members.Voters) && after < up:
		t.Fatalf("a copy was removed while %d of %d live voters were up to date", after, up)
	case !hasQuorum(up, next):
		t.Fatalf("%d of %d voters are live: no quorum", up, len(next.Voters))
	}
}

// TestPlanKeepsCopiesAndQuorum runs plan while VMs fail, return, are wiped and catch up.
func TestPlanKeepsCopiesAndQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &planModel{want: rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "want"), silent: map[consensus.NodeID]bool{}, last: lastEntry}
		for i := range m.want + rapid.IntRange(0, 3).Draw(t, "spares") {
			v := &modelVM{id: consensus.NodeID(fmt.Sprintf("%c", 'a'+i)), up: true}
			m.vms = append(m.vms, v)
			if i < m.want {
				v.match = m.last
				m.members.Voters = append(m.members.Voters, consensus.Peer{ID: v.id})
			}
		}
		any := func() *modelVM { return rapid.SampledFrom(m.vms).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"die":     func(*rapid.T) { any().up = false },
			"return":  func(*rapid.T) { any().up = true },
			"silence": func(*rapid.T) { m.updateSilence() },
			"write":   func(t *rapid.T) { m.write(rapid.Uint64Range(1, 2*maxPromoteLag).Draw(t, "entries")) },
			"catch":   func(*rapid.T) { m.catchUp() },
			"plan":    func(t *rapid.T) { m.step(t) },
			"tick": func(t *rapid.T) {
				m.updateSilence()
				m.step(t)
			},
			"wipe": func(*rapid.T) {
				v := any()
				if !m.canLose(v) {
					return // more disks lost than the membership tolerates
				}
				v.wipes++
				v.id, v.match = consensus.NodeID(fmt.Sprintf("%s-%d", v.id[:1], v.wipes)), 0
			},
		})
		m.converge(t)
	})
}

// converge runs all VMs. Plan must reach the wanted set, since the remaining disks form a quorum.
func (m *planModel) converge(t *rapid.T) {
	for _, v := range m.vms {
		v.up = true
	}
	why := ""
	for range 40 {
		m.updateSilence()
		why = m.step(t)
		m.catchUp()
	}
	m.updateSilence()
	up, hold := m.liveVoters(m.members)
	if why != "" || up != m.want || hold != m.want || len(m.members.Voters) != m.want || len(m.members.Learners) != 0 {
		t.Fatalf("not converged: %q, voters %q, learners %q", why, idsOf(m.members.Voters), idsOf(m.members.Learners))
	}
}
