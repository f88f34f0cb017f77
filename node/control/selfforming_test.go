package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/formation"
)

// simMachine is one VM of a self-forming cluster. The fields in stored survive a restart. A wipe clears them,
// and the next replica gets a new identity.
type simMachine struct {
	address    string
	disk       bool
	wipes      int
	firstStart bool // its data folder existed at the first start
	stored     struct {
		formed bool
		hard   consensus.HardState
		snap   *consensus.Snapshot
		log    []consensus.Entry
	}
	rule    formation.FounderElection
	namer   formation.Elector
	node    *consensus.Node // nil if it is not running or has no disk
	applied []string
}

func (m *simMachine) peer() consensus.Peer {
	return consensus.Peer{ID: consensus.NodeID(fmt.Sprintf("%s/%d", m.address, m.wipes)), Address: m.address}
}

// simCluster is a set of machines connected by a lossy network.
type simCluster struct {
	t        *rapid.T
	seeds    []string
	machines []*simMachine
	inFlight []consensus.Message
	founded  int
	acked    []string
	serial   int
	proposed map[string]bool // by the current leader; acknowledged once committed there
	noopFor  string          // term and membership after which a no-op entry was proposed
	cut      map[string]bool // machines whose messages are lost
}

const (
	simLosses = 1
	simVoters = 2*simLosses + 1
)

func newSimCluster(t *rapid.T) *simCluster {
	s := &simCluster{t: t, proposed: map[string]bool{}, cut: map[string]bool{}}
	n := rapid.IntRange(4, 6).Draw(t, "machines")
	for i := range n {
		s.machines = append(s.machines, &simMachine{address: fmt.Sprint("m", i), disk: i < 3 || rapid.Bool().Draw(t, "disk"), firstStart: true, namer: formation.Elector{FirstStart: true}})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 3, 3, rapid.ID).Draw(t, "seeds") {
		s.seeds = append(s.seeds, s.machines[i].address)
	}
	for _, m := range s.machines {
		s.start(m)
	}
	return s
}

func (s *simCluster) start(m *simMachine) {
	m.rule = formation.FounderElection{Self: m.address, Seeds: s.seeds}
	m.applied = nil
	if !m.disk {
		return
	}
	m.node = consensus.New(consensus.Config{ID: m.peer().ID, ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchBytes: 1 << 20,
		Rand: rand.New(rand.NewPCG(uint64(s.serial), uint64(len(m.address)+m.wipes))), HardState: m.stored.hard, Snapshot: m.stored.snap, Entries: append([]consensus.Entry(nil), m.stored.log...)})
	s.serial++
	s.processReady(m)
}

func (s *simCluster) at(address string) *simMachine {
	for _, m := range s.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// form takes one step of the cluster's formation.
func (s *simCluster) form(m *simMachine) {
	if m.node == nil || m.stored.formed || !m.firstStart || m.node.Status().LastIndex > 0 {
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

// processReady handles a Ready in the same order as the replica.
func (s *simCluster) processReady(m *simMachine) {
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
		s.inFlight = append(append(s.inFlight, rd.EarlyMessages...), rd.Messages...)
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

// round advances time by one tick and delivers the messages in flight, some of which are lost.
func (s *simCluster) round(lossy bool) {
	for _, m := range s.machines {
		s.form(m)
		if m.node != nil {
			m.node.Tick()
			s.processReady(m)
		}
	}
	pool := s.inFlight
	s.inFlight = nil
	for _, msg := range pool {
		to, from := s.byID(msg.To), s.byID(msg.From)
		if to == nil || from == nil || s.cut[to.address] || s.cut[from.address] || lossy && rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			continue
		}
		to.node.Step(msg)
		s.processReady(to)
	}
	if l := s.leader(); l != nil {
		s.repairStep(l)
	}
}

// byID returns a running replica, or nil if its data folder was lost.
func (s *simCluster) byID(id consensus.NodeID) *simMachine {
	for _, m := range s.machines {
		if m.node != nil && m.peer().ID == id {
			return m
		}
	}
	return nil
}

func (s *simCluster) leader() *simMachine {
	var best *simMachine
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

// repairStep lets the leader take one step of the plan, with the offers that reach it.
func (s *simCluster) repairStep(l *simMachine) {
	st := l.node.Status()
	if st.MembershipPending {
		return
	}
	if voters := fmt.Sprint(st.Term, st.Membership); s.noopFor != voters { // like repair.commitNoop
		if _, _, err := l.node.Propose([]byte("confirm")); err == nil {
			s.noopFor = voters
		}
		s.processReady(l)
		return
	}
	var offers []consensus.Peer
	silent := map[consensus.NodeID]bool{}
	for _, m := range s.machines {
		if m.node != nil && !s.cut[m.address] && !m.node.Status().Membership.IsVoter(m.peer().ID) {
			offers = append(offers, m.peer())
		}
	}
	for _, p := range st.Membership.All() {
		m := s.byID(p.ID)
		silent[p.ID] = m == nil || s.cut[m.address]
	}
	if next, _ := planSelfForming(st, offers, silent, simVoters, 7, unknownPlacement); next != nil {
		// A rejected step is proposed again in the next round.
		_ = l.node.ProposeMembership(*next)
		s.processReady(l)
	}
}

func (s *simCluster) propose() {
	l := s.leader()
	if l == nil || len(l.node.Status().Membership.Voters) < simVoters {
		return
	}
	s.serial++
	value := fmt.Sprint("v", s.serial)
	if _, _, err := l.node.Propose([]byte(value)); err == nil {
		s.proposed[value] = true
	}
	s.processReady(l)
}

// toleratesLoss reports whether another loss is tolerated: there is a leader, and enough voters, all of which
// are running, reachable and up to date.
func (s *simCluster) toleratesLoss() bool {
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
	return s.noopFor == fmt.Sprint(st.Term, st.Membership) && len(st.Membership.Voters) >= simVoters && len(st.Membership.Learners) == 0 && !st.MembershipPending
}

// check compares the entries that the replicas have applied.
func (s *simCluster) check() {
	if s.founded > 1 {
		s.t.Fatalf("%d clusters were created", s.founded)
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

// TestSelfFormingClusterKeepsWhatItAcknowledged forms a cluster from seeds, some of which may have no disk.
// Machines restart, are partitioned, lose their data folders one at a time, and lose power together. No
// second cluster may be created, replicas must never diverge, and when all machines have returned, every
// acknowledged entry must exist.
func TestSelfFormingClusterKeepsWhatItAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimCluster(t)
		pick := func() *simMachine { return s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")] }
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
				if !m.disk || !s.toleratesLoss() {
					return
				}
				m.wipes++
				m.firstStart = false
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
		for i := 0; i < 400 && (i < 60 || !s.toleratesLoss() && s.founded > 0); i++ {
			s.round(false)
		}
		s.check()
		if s.founded == 0 {
			return // seeds without disks were restarted before one of them was asked
		}
		l := s.leader()
		if l == nil {
			t.Fatal("no leader although all machines have returned")
		}
		held := map[string]bool{}
		for _, v := range l.applied {
			held[v] = true
		}
		for _, v := range s.acked {
			if !held[v] {
				t.Fatalf("%s was acknowledged and is lost; the leader holds %v", v, l.applied)
			}
		}
	})
}
