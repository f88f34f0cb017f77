package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/formation"
)

// formingMachine is one VM of a self-forming cluster. What stands in stored survives a
// restart; a wipe takes it and gives the next replica another identity.
type formingMachine struct {
	address string
	disk    bool
	wipes   int
	first   bool // its folder was there at the first start
	stored  struct {
		formed bool
		hard   consensus.HardState
		snap   *consensus.Snapshot
		log    []consensus.Entry
	}
	rule    formation.FounderElection
	namer   formation.Elector
	node    *consensus.Node // nil while it is down, or has no disk
	applied []string
}

func (m *formingMachine) peer() consensus.Peer {
	return consensus.Peer{ID: consensus.NodeID(fmt.Sprintf("%s/%d", m.address, m.wipes)), Address: m.address}
}

// formingSystem is a set of machines on a network that loses messages.
type formingSystem struct {
	t         *rapid.T
	seeds     []string
	machines  []*formingMachine
	pool      []consensus.Message
	founded   int
	acked     []string
	serial    int
	proposed  map[string]bool // by the leader of now, to be acknowledged when committed there
	confirmed string          // term and membership that an entry follows
	cut       map[string]bool // machines whose messages are lost
}

const (
	formingLosses = 1
	formingVoters = 2*formingLosses + 1
)

func newFormingSystem(t *rapid.T) *formingSystem {
	s := &formingSystem{t: t, proposed: map[string]bool{}, cut: map[string]bool{}}
	n := rapid.IntRange(4, 6).Draw(t, "machines")
	for i := range n {
		s.machines = append(s.machines, &formingMachine{address: fmt.Sprint("m", i), disk: i < 3 || rapid.Bool().Draw(t, "disk"), first: true, namer: formation.Elector{FirstStart: true}})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 3, 3, rapid.ID).Draw(t, "seeds") {
		s.seeds = append(s.seeds, s.machines[i].address)
	}
	for _, m := range s.machines {
		s.start(m)
	}
	return s
}

func (s *formingSystem) start(m *formingMachine) {
	m.rule = formation.FounderElection{Self: m.address, Seeds: s.seeds}
	m.applied = nil
	if !m.disk {
		return
	}
	m.node = consensus.New(consensus.Config{ID: m.peer().ID, ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchBytes: 1 << 20,
		Rand: rand.New(rand.NewPCG(uint64(s.serial), uint64(len(m.address)+m.wipes))), HardState: m.stored.hard, Snapshot: m.stored.snap, Entries: append([]consensus.Entry(nil), m.stored.log...)})
	s.serial++
	s.work(m)
}

func (s *formingSystem) at(address string) *formingMachine {
	for _, m := range s.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// form takes one step of founding.
func (s *formingSystem) form(m *formingMachine) {
	if m.node == nil || m.stored.formed || !m.first || m.node.Status().Last > 0 {
		return
	}
	step := m.rule.Next()
	if step.BecomeFounder {
		s.founded++
		m.stored.formed = true
		m.stored.snap = consensus.Bootstrap(m.peer(), nil)
		m.stored.hard = consensus.HardState{Term: m.stored.snap.Term, Commit: m.stored.snap.Index}
		s.start(m)
		return
	}
	if seed := s.at(step.Seed); seed != nil && !s.cut[m.address] && !s.cut[step.Seed] {
		answer := formation.HelloReply{Known: true, HasDisk: true}
		if !seed.disk {
			answer = seed.namer.HandleHello(step.Hello)
		}
		m.rule.RecordReply(step.Seed, step.Hello, answer)
	}
}

// work does what the replica does with a Ready, in its order.
func (s *formingSystem) work(m *formingMachine) {
	for m.node.HasReady() {
		rd := m.node.Ready()
		if rd.Snapshot != nil {
			m.stored.snap, m.stored.log, m.applied = rd.Snapshot, nil, nil
		}
		if rd.HardState != nil {
			m.stored.hard = *rd.HardState
		}
		for _, e := range rd.Entries {
			for k := len(m.stored.log); k > 0 && m.stored.log[k-1].Index >= e.Index; k-- {
				m.stored.log = m.stored.log[:k-1]
			}
			m.stored.log = append(m.stored.log, e)
		}
		s.pool = append(append(s.pool, rd.Early...), rd.Messages...)
		for _, e := range rd.Committed {
			if e.Kind != consensus.EntryNormal || len(e.Data) == 0 {
				continue
			}
			m.applied = append(m.applied, string(e.Data))
			if s.proposed[string(e.Data)] {
				delete(s.proposed, string(e.Data))
				s.acked = append(s.acked, string(e.Data))
			}
		}
		m.node.Advance(rd)
	}
}

// round lets one unit of time pass and delivers what is on its way, in any order
// and with losses.
func (s *formingSystem) round(lossy bool) {
	for _, m := range s.machines {
		s.form(m)
		if m.node != nil {
			m.node.Tick()
			s.work(m)
		}
	}
	pool := s.pool
	s.pool = nil
	for _, msg := range pool {
		to, from := s.byID(msg.To), s.byID(msg.From)
		if to == nil || from == nil || s.cut[to.address] || s.cut[from.address] || lossy && rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			continue
		}
		to.node.Step(msg)
		s.work(to)
	}
	if l := s.leader(); l != nil {
		s.heal(l)
	}
}

// byID finds a running replica; one whose folder was lost is nobody's any more.
func (s *formingSystem) byID(id consensus.NodeID) *formingMachine {
	for _, m := range s.machines {
		if m.node != nil && m.peer().ID == id {
			return m
		}
	}
	return nil
}

func (s *formingSystem) leader() *formingMachine {
	var best *formingMachine
	for _, m := range s.machines {
		if m.node == nil || m.node.Status().Role != consensus.Leader || s.cut[m.address] {
			continue
		}
		if best == nil || m.node.Status().Term > best.node.Status().Term {
			best = m
		}
	}
	return best
}

// heal lets the leader take a step of the plan, with the offers that reach it.
func (s *formingSystem) heal(l *formingMachine) {
	st := l.node.Status()
	if st.MembershipPending {
		return
	}
	if voters := fmt.Sprint(st.Term, st.Membership); s.confirmed != voters { // as repair.confirm does
		if _, _, err := l.node.Propose([]byte("confirm")); err == nil {
			s.confirmed = voters
		}
		s.work(l)
		return
	}
	var offers []consensus.Peer
	silent := map[consensus.NodeID]bool{}
	for _, m := range s.machines {
		if m.node != nil && !s.cut[m.address] && !m.node.Status().Membership.Has(m.peer().ID) {
			offers = append(offers, m.peer())
		}
	}
	for _, p := range st.Membership.All() {
		m := s.byID(p.ID)
		silent[p.ID] = m == nil || s.cut[m.address]
	}
	if next, _ := planElastic(st, offers, silent, formingVoters, 7, anywhere); next != nil {
		// A step that is refused now is proposed again in the next round.
		_ = l.node.ProposeMembership(*next)
		s.work(l)
	}
}

func (s *formingSystem) propose() {
	l := s.leader()
	if l == nil || len(l.node.Status().Membership.Voters) < formingVoters {
		return
	}
	s.serial++
	value := fmt.Sprint("v", s.serial)
	if _, _, err := l.node.Propose([]byte(value)); err == nil {
		s.proposed[value] = true
	}
	s.work(l)
}

// whole reports whether another loss is borne: a leader whose voters all run, are
// reached and hold everything committed, and are as many as the losses need.
func (s *formingSystem) whole() bool {
	l := s.leader()
	if l == nil || len(s.cut) > 0 {
		return false
	}
	st := l.node.Status()
	for _, v := range st.Membership.Voters {
		if s.byID(v.ID) == nil || v.ID != st.ID && st.Progress[v.ID].Match < st.Committed {
			return false
		}
	}
	return s.confirmed == fmt.Sprint(st.Term, st.Membership) && len(st.Membership.Voters) >= formingVoters && len(st.Membership.Learners) == 0 && !st.MembershipPending
}

// check compares all that was applied anywhere.
func (s *formingSystem) check() {
	if s.founded > 1 {
		s.t.Fatalf("%d clusters were founded", s.founded)
	}
	var longest []string
	for _, m := range s.machines {
		if len(m.applied) > len(longest) {
			longest = m.applied
		}
	}
	for _, m := range s.machines {
		for i, v := range m.applied {
			if longest[i] != v {
				s.t.Fatalf("%s applied %v, another replica %v", m.address, m.applied, longest)
			}
		}
	}
}

// TestSelfFormingClusterKeepsWhatItAcknowledged forms a cluster from seeds, some
// of which may have no disk, and lets machines restart, be cut off, lose their
// folders one at a time and lose power together. No second cluster is founded,
// replicas never differ, and when all are back everything acknowledged is there.
func TestSelfFormingClusterKeepsWhatItAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFormingSystem(t)
		pick := func() *formingMachine { return s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")] }
		t.Repeat(map[string]func(*rapid.T){
			"rounds": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "rounds") {
					s.round(true)
				}
			},
			"propose": func(*rapid.T) { s.propose() },
			"restart": func(*rapid.T) {
				m := pick()
				m.namer = formation.Elector{}
				s.start(m)
			},
			"all": func(*rapid.T) {
				if s.founded == 0 {
					return
				}
				for _, m := range s.machines {
					m.namer = formation.Elector{}
					s.start(m)
				}
			},
			"wipe": func(*rapid.T) {
				m := pick()
				if !m.disk || !s.whole() {
					return
				}
				m.wipes++
				m.first = false
				m.stored.formed, m.stored.hard, m.stored.snap, m.stored.log = false, consensus.HardState{}, nil, nil
				s.start(m)
			},
			"cut": func(*rapid.T) {
				if m := pick(); len(s.cut) == 0 {
					s.cut[m.address] = true
				}
			},
			"mend": func(*rapid.T) { clear(s.cut) },
			"":     func(*rapid.T) { s.check() },
		})
		clear(s.cut)
		for i := 0; i < 400 && (i < 60 || !s.whole() && s.founded > 0); i++ {
			s.round(false)
		}
		s.check()
		if s.founded == 0 {
			return // seeds without disks were restarted before one of them was asked
		}
		l := s.leader()
		if l == nil {
			t.Fatal("nobody leads although all are back")
		}
		held := map[string]bool{}
		for _, v := range l.applied {
			held[v] = true
		}
		for _, v := range s.acked {
			if !held[v] {
				t.Fatalf("%s was acknowledged and is gone; the leader holds %v", v, l.applied)
			}
		}
	})
}
