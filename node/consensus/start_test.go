package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"caperdrum.org/node/consensus"
)

// Ticks as configured in package replica.
const (
	startElection  = 12
	startHeartbeat = 3
)

// startedGroup is a group of replicas whose messages arrive within one tick.
type startedGroup struct {
	nodes map[consensus.NodeID]*consensus.Node
	order []consensus.NodeID
	seed  uint64
	ticks int
}

func newStartedGroup(seed uint64, size int) *startedGroup {
	g := &startedGroup{nodes: map[consensus.NodeID]*consensus.Node{}, seed: seed}
	for i := range size {
		g.order = append(g.order, consensus.NodeID(fmt.Sprint("n", i)))
	}
	for _, id := range g.order {
		g.start(id, 2)
	}
	return g
}

// start starts a replica whose disk holds a term and one entry of it.
func (g *startedGroup) start(id consensus.NodeID, term uint64) {
	g.seed++
	g.nodes[id] = consensus.New(consensus.Config{ID: id, ElectionTicks: startElection, HeartbeatTicks: startHeartbeat, MaxBatchBytes: 1 << 20,
		Rand: rand.New(rand.NewPCG(g.seed, 7)), HardState: consensus.HardState{Term: term},
		Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Voters: peers(g.order...)}}})
}

// tick advances the time by one tick and delivers all messages.
func (g *startedGroup) tick() {
	g.ticks++
	for _, id := range g.order {
		g.nodes[id].Tick()
	}
	for busy := true; busy; {
		busy = false
		for _, id := range g.order {
			for _, m := range drain(g.nodes[id]) {
				busy = true
				g.nodes[m.To].Step(m)
			}
		}
	}
}

func (g *startedGroup) leader() (consensus.NodeID, bool) {
	for _, id := range g.order {
		if g.nodes[id].Status().Role == consensus.Leader {
			return id, true
		}
	}
	return "", false
}

// TestReplicasThatStartTogetherElectSoon starts all replicas at once: none knows a leader, so none may wait a
// full election timeout for a lost one.
func TestReplicasThatStartTogetherElectSoon(t *testing.T) {
	const seeds = 200
	sum := 0
	for seed := range uint64(seeds) {
		g := newStartedGroup(seed*100, 7)
		for _, led := g.leader(); !led; _, led = g.leader() {
			if g.tick(); g.ticks > 10*startElection {
				t.Fatalf("seed %d: no leader", seed)
			}
		}
		sum += g.ticks
	}
	if mean := float64(sum) / seeds; mean > startElection/2 {
		t.Fatalf("%.1f ticks on average until a leader is elected; an election timeout is %d", mean, startElection)
	}
}

// TestRestartedReplicasKeepTheLeader restarts most followers while their leader is running: they must
// hear from it before they campaign.
func TestRestartedReplicasKeepTheLeader(t *testing.T) {
	for seed := range uint64(50) {
		g := newStartedGroup(seed*100, 5)
		for _, led := g.leader(); !led; _, led = g.leader() {
			g.tick()
		}
		leader, _ := g.leader()
		term := g.nodes[leader].Status().Term
		for range seed % startHeartbeat {
			g.tick()
		}
		for _, id := range g.order {
			if id != leader {
				g.start(id, term)
			}
		}
		for range 4 * startElection {
			g.tick()
		}
		if now, _ := g.leader(); now != leader || g.nodes[leader].Status().Term != term {
			t.Fatalf("seed %d: %s leads instead of %s, term %d after %d", seed, now, leader, g.nodes[leader].Status().Term, term)
		}
	}
}
