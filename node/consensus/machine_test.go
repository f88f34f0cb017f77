package consensus_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
)

// runStats counts the events of a run, to show how much it exercised.
type runStats struct {
	Runs, Inputs, Committed, Leaders, Crashes, Wipes, Snapshots, Reads, Memberships int
	Delayed, Overtaken                                                              int // snapshots finished after the log had grown, and superseded ones
}

var total runStats

func (n *runStats) add(c *cluster) {
	n.Runs++
	n.Inputs += c.stats.Inputs
	n.Committed += len(c.committed)
	n.Leaders += len(c.leaders)
	n.Crashes += c.stats.Crashes
	n.Wipes += c.stats.Wipes
	n.Snapshots += c.stats.Snapshots
	n.Reads += c.stats.Reads
	n.Delayed += c.stats.Delayed
	n.Overtaken += c.stats.Overtaken
	n.Memberships += len(c.memberships)
}

type seeded struct{ *rand.ChaCha8 }

func drawHost(t *rapid.T, c *cluster) *host {
	return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
}

func drawUp(t *rapid.T, c *cluster) *host {
	h := drawHost(t, c)
	if h.node == nil {
		t.Skip("down")
	}
	return h
}

// maybeProcess processes the node's Ready, or lets more input accumulate first.
func maybeProcess(t *rapid.T, c *cluster, h *host) {
	if h.node != nil && rapid.IntRange(0, 4).Draw(t, "work") > 0 {
		c.process(h)
	}
}

// TestCluster runs 3 to 5 replicas on disks that lose unsynced writes and over a faulty network. It checks
// Raft's five safety properties, linearizable reads and progress.
func TestCluster(t *testing.T) {
	total = runStats{}
	defer func() { t.Logf("%+v", total) }()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		var key [32]byte
		key[0], key[1], key[2], key[3] = byte(seed), byte(seed>>8), byte(seed>>16), byte(seed>>24)
		uuid.SetRand(seeded{rand.NewChaCha8(key)})
		defer uuid.SetRand(nil)
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "size"), seed)
		c.addVoters(rapid.IntRange(1, len(c.hosts)).Draw(t, "voters"))
		t.Repeat(actions(c))
		c.checkRecovery()
		total.add(c)
	})
}

// addVoters makes the first n hosts voters.
func (c *cluster) addVoters(n int) {
	for _, h := range c.hosts[1:n] {
		for range 2 {
			c.checkRecovery()
			c.proposeRepair(c.leader(), h)
			c.checkRecovery()
		}
	}
	c.checkRecovery()
}

// actions returns the actions of the rapid state machine. Faults are rare compared with ordinary traffic, or
// the cluster would be down most of the time and little would be exercised.
func actions(c *cluster) map[string]func(*rapid.T) {
	out := map[string]func(*rapid.T){
		"": func(*rapid.T) { c.checkLogMatching() },
		"fault": func(t *rapid.T) {
			faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")](t, c)
		},
		"change": func(t *rapid.T) {
			changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")](t, c)
		},
		"start": func(t *rapid.T) { restart(t, c, drawHost(t, c)) },
		"heal":  func(*rapid.T) { clear(c.cutLinks) },
	}
	for _, again := range []string{"", "2", "3"} {
		out["deliver"+again] = func(t *rapid.T) { deliverSome(t, c) }
		out["run"+again] = func(t *rapid.T) { run(c, rapid.IntRange(1, 3*electionTicks).Draw(t, "rounds")) }
		out["lead"+again] = func(t *rapid.T) { proposeAtLeader(t, c) }
	}
	return out
}

var faults = []func(*rapid.T, *cluster){
	func(t *rapid.T, c *cluster) { c.cutLinks[[2]string{drawHost(t, c).name, drawHost(t, c).name}] = true },
	func(t *rapid.T, c *cluster) { isolate(c, drawHost(t, c)) },
	func(t *rapid.T, c *cluster) { c.crash(drawUp(t, c)) },
	func(t *rapid.T, c *cluster) {
		drawUp(t, c).fs.CrashAfter(rapid.IntRange(0, 12).Draw(t, "operations"))
	},
	func(t *rapid.T, c *cluster) { wipe(t, c, drawHost(t, c)) },
	cutLeader,
}

var changes = []func(*rapid.T, *cluster){
	func(t *rapid.T, c *cluster) { tick(t, c, drawUp(t, c)) },
	func(t *rapid.T, c *cluster) { propose(t, c, drawUp(t, c)) },
	func(t *rapid.T, c *cluster) { readAt(t, c, drawUp(t, c)) },
	compact,
	compact,
	compact,
	proposeRepair,
	transfer,
}

func compact(t *rapid.T, c *cluster) {
	c.compact(drawUp(t, c), rapid.Uint64Range(0, 3).Draw(t, "trailing"))
}

func readAt(t *rapid.T, c *cluster, h *host) {
	c.read(h)
	maybeProcess(t, c, h)
}

func deliverSome(t *rapid.T, c *cluster) {
	for range rapid.IntRange(1, 12).Draw(t, "messages") {
		if len(c.pool) == 0 {
			return
		}
		i := rapid.IntRange(0, len(c.pool)-1).Draw(t, "which")
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0:
			c.pool = append(c.pool[:i:i], c.pool[i+1:]...)
		case 1, 2:
			c.deliver(i, true)
		default:
			c.deliver(i, false)
		}
		maybeProcess(t, c, drawHost(t, c))
	}
}

// run lets the running hosts exchange messages in order for some rounds, each at its own speed.
func run(c *cluster, rounds int) {
	for range rounds {
		for i, h := range c.hosts {
			if h.node != nil && c.rand.IntN(3+i) < 3 {
				h.node.Tick()
				c.process(h)
			}
		}
		if h := c.hosts[c.rand.IntN(len(c.hosts))]; h.node != nil {
			c.propose(h)
			c.read(h)
		}
		for k := len(c.pool); k > 0 && len(c.pool) > 0; k-- {
			c.deliver(c.pickMessage(), c.rand.IntN(16) == 0)
			if c.rand.IntN(3) > 0 {
				c.processAll()
			}
		}
		c.processAll()
	}
}

// pickMessage mostly returns the oldest message.
func (c *cluster) pickMessage() int {
	if c.rand.IntN(4) > 0 {
		return 0
	}
	return c.rand.IntN(len(c.pool))
}

func tick(t *rapid.T, c *cluster, h *host) {
	for range rapid.IntRange(1, 2*electionTicks).Draw(t, "ticks") {
		if h.node == nil {
			return
		}
		h.node.Tick()
		maybeProcess(t, c, h)
	}
}

func propose(t *rapid.T, c *cluster, h *host) {
	c.propose(h)
	maybeProcess(t, c, h)
}

func proposeAtLeader(t *rapid.T, c *cluster) {
	if l := c.leader(); l != nil {
		for range rapid.IntRange(1, 6).Draw(t, "proposals") {
			c.propose(l)
		}
		c.read(l)
		maybeProcess(t, c, l)
	}
}

func isolate(c *cluster, h *host) {
	for _, o := range c.hosts {
		if o != h {
			c.cutLinks[[2]string{h.name, o.name}] = true
			c.cutLinks[[2]string{o.name, h.name}] = true
		}
	}
}

func restart(t *rapid.T, c *cluster, h *host) {
	if h.node != nil {
		t.Skip("up")
	}
	c.start(h)
}

func wipe(t *rapid.T, c *cluster, h *host) {
	if !c.canWipe(h) {
		t.Skip("would lose a majority")
	}
	c.wipe(h)
}

func proposeRepair(t *rapid.T, c *cluster) {
	l := c.leader()
	if l == nil {
		t.Skip("no leader")
	}
	c.proposeRepair(l, drawHost(t, c))
	maybeProcess(t, c, l)
}

func transfer(t *rapid.T, c *cluster) {
	l := c.leader()
	if l == nil {
		t.Skip("no leader")
	}
	l.node.TransferLeadership(drawHost(t, c).id)
	maybeProcess(t, c, l)
}

func isSoleVoter(l *host) bool {
	m := l.node.Status().Membership
	return m.IsVoter(l.id) && len(m.Voters) == 1
}

// cutLeader checks that an isolated leader steps down within two election timeouts of its own clock, even
// while it is asked to transfer leadership.
func cutLeader(t *rapid.T, c *cluster) {
	l := c.leader()
	if l == nil || isSoleVoter(l) {
		t.Skip("no leader that depends on other voters")
	}
	to := drawHost(t, c)
	for range 2 * electionTicks {
		if l.node != nil {
			l.node.TransferLeadership(to.id)
			l.node.Tick()
			c.process(l)
		}
	}
	if l.node != nil && l.node.Status().Role == consensus.Leader && !isSoleVoter(l) {
		t.Fatalf("%s still leads two election timeouts after it was isolated", l.name)
	}
}
