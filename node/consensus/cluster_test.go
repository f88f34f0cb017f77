package consensus_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/wal"
)

const (
	electionTicks  = 6
	heartbeatTicks = 2
	poolLimit      = 400 // the oldest messages beyond this number are dropped
)

// fataler holds the methods shared by *rapid.T, *testing.T and *testing.F.
type fataler interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// host is one process with its node, log and disk. Its state machine is a hash over all applied entries.
type host struct {
	name      string
	fs        *disktest.FS
	log       *wal.Log
	node      *consensus.Node // nil while the process is down
	id        consensus.NodeID
	index     uint64 // index of the last entry in hash
	hash      uint64
	proposals map[uint64]uint64 // index to term
	reads     map[uint64]uint64 // read id to the lowest index that it may return

	snapshot *consensus.Snapshot // in progress, with its data; the node continues meanwhile
	written  bool                // snapshot is durable
}

// cluster runs hosts over a network that loses, delays, duplicates and reorders messages, and compares them
// with a list of all entries ever committed.
type cluster struct {
	t           fataler
	rand        *rand.Rand
	hosts       []*host
	pool        []consensus.Message
	cutLinks    map[[2]string]bool // directed links that drop all messages
	committed   []consensus.Entry  // the expected log: committed[i] has index i+2
	hashes      []uint64           // hash after committed[:i]
	acked       uint64             // last index acknowledged to its proposer
	leaders     map[uint64]consensus.NodeID
	memberships []consensus.Membership // every membership that may be in force
	nextID      uint64
	counter     uint64
	stats       runStats
}

func newCluster(t fataler, size int, seed uint64) *cluster {
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, 7)), cutLinks: map[[2]string]bool{},
		leaders: map[uint64]consensus.NodeID{}, hashes: []uint64{0}}
	for i := range size {
		h := &host{name: string(rune('a' + i))}
		c.hosts = append(c.hosts, h)
		c.newDisk(h)
		c.start(h)
	}
	c.init(c.hosts[0])
	return c
}

func (c *cluster) newDisk(h *host) { h.fs = disktest.New(c.rand.Uint64()) }

// init does what replica.Init does.
func (c *cluster) init(h *host) {
	snap := consensus.Bootstrap(consensus.Peer{ID: h.id}, snapshotData(0))
	if err := h.log.SaveSnapshot(snap, consensus.HardState{Term: 1, Commit: 1}, nil); err != nil {
		c.t.Fatalf("init: %v", err)
	}
	c.stop(h)
	c.start(h)
	c.memberships = []consensus.Membership{snap.Membership}
}

// start opens the disk and starts the node; the host stays down if the planned crash happens meanwhile.
func (c *cluster) start(h *host) {
	log, st, err := wal.Open(h.fs)
	if err != nil {
		if !isCrash(err) {
			c.t.Fatalf("%s cannot open its folder after a crash: %v", h.name, err)
		}
		c.crash(h)
		return
	}
	h.log, h.id = log, consensus.NodeID(h.name+"/"+st.DiskID)
	h.index, h.hash = 0, 0
	h.proposals, h.reads = map[uint64]uint64{}, map[uint64]uint64{}
	if st.Snapshot != nil {
		c.restore(h, st.Snapshot)
	}
	h.node = consensus.New(consensus.Config{ID: h.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxBatchBytes: 64, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
		HardState: st.HardState, Snapshot: st.Snapshot, Entries: st.Entries})
	c.process(h)
}

func isCrash(err error) bool {
	return err != nil && bytes.Contains([]byte(err.Error()), []byte(disktest.ErrCrashed.Error()))
}

// stop ends a process. Its unsynced writes stay in the file system.
func (c *cluster) stop(h *host) { h.node, h.log, h.snapshot, h.written = nil, nil, nil, false }

// crash simulates a power loss.
func (c *cluster) crash(h *host) {
	c.stats.Crashes++
	c.stop(h)
	h.fs.Crash()
}

// process does what replica.processReady does. It treats a disk error as a power loss.
func (c *cluster) process(h *host) {
	for h.node != nil && h.node.HasReady() {
		rd := h.node.Ready()
		c.enqueue(rd.EarlyMessages)
		if err := save(h, rd); err != nil {
			c.crash(h)
			return
		}
		c.enqueue(rd.Messages)
		if rd.Snapshot != nil {
			c.restore(h, rd.Snapshot)
		}
		for _, e := range rd.Committed {
			c.apply(h, e)
		}
		c.checkReads(h, rd.Reads)
		h.node.Advance(rd)
		c.recordMembership(h)
	}
	c.checkHost(h)
}

func save(h *host, rd consensus.Ready) error {
	if rd.Snapshot == nil {
		return h.log.Save(rd.HardState, rd.Entries)
	}
	return h.log.SaveSnapshot(rd.Snapshot, h.node.HardState(), rd.Entries)
}

func (c *cluster) enqueue(messages []consensus.Message) {
	c.pool = append(c.pool, messages...)
	if over := len(c.pool) - poolLimit; over > 0 {
		c.pool = slices.Clone(c.pool[over:])
	}
}

func entryHash(before uint64, e consensus.Entry) uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, before, e.Index, e.Term, e.Kind)
	f.Write(e.Data)
	return f.Sum64()
}

func snapshotData(hash uint64) []byte { return binary.LittleEndian.AppendUint64(nil, hash) }

// apply compares an entry with the committed list, or appends it.
func (c *cluster) apply(h *host, e consensus.Entry) {
	if e.Index != h.index+1 {
		c.t.Fatalf("%s applied entry %d after %d", h.name, e.Index, h.index)
	}
	h.index, h.hash = e.Index, entryHash(h.hash, e)
	i := int(e.Index) - 2
	if i == len(c.committed) {
		c.committed = append(c.committed, e)
		c.hashes = append(c.hashes, h.hash)
	}
	if c.hashes[i+1] != h.hash {
		c.t.Fatalf("%s applied %d/%d at %d, the cluster had committed %d/%d", h.name, e.Term, e.Data, e.Index, c.committed[i].Term, c.committed[i].Data)
	}
	if term, ok := h.proposals[e.Index]; ok && term == e.Term {
		c.acked = max(c.acked, e.Index)
	}
	delete(h.proposals, e.Index)
}

func (c *cluster) restore(h *host, s *consensus.Snapshot) {
	c.stats.Snapshots++
	h.index, h.hash = s.Index, binary.LittleEndian.Uint64(s.Data)
	if s.Index-1 > uint64(len(c.committed)) || c.hashes[s.Index-1] != h.hash {
		c.t.Fatalf("%s restored a snapshot at %d that differs from what was committed", h.name, s.Index)
	}
}

func (c *cluster) checkReads(h *host, reads []consensus.ReadState) {
	for _, r := range reads {
		need, ok := h.reads[r.ID]
		delete(h.reads, r.ID)
		if !r.Failed {
			c.stats.Reads++
		}
		if ok && !r.Failed && r.Index < need {
			c.t.Fatalf("%s confirmed a read at %d, but a write at %d was acknowledged before it", h.name, r.Index, need)
		}
	}
}

// deliver passes on the i-th message of the pool.
func (c *cluster) deliver(i int, keep bool) {
	m := c.pool[i]
	if !keep {
		c.pool = slices.Delete(c.pool, i, i+1)
	}
	if c.cutLinks[[2]string{hostOf(m.From), hostOf(m.To)}] {
		return
	}
	for _, h := range c.hosts {
		if h.name == hostOf(m.To) && h.node != nil {
			c.stats.Inputs++
			h.node.Step(m)
			return
		}
	}
}

func hostOf(id consensus.NodeID) string { return string(id[:1]) }

func (c *cluster) leader() *host {
	var best *host
	for _, h := range c.hosts {
		if h.node == nil || h.node.Status().Role != consensus.Leader {
			continue
		}
		if best == nil || h.node.Status().Term > best.node.Status().Term {
			best = h
		}
	}
	return best
}

func (c *cluster) propose(h *host) {
	c.counter++
	index, term, err := h.node.Propose(binary.AppendUvarint(nil, c.counter))
	if err == nil {
		h.proposals[index] = term
	}
}

func (c *cluster) read(h *host) {
	c.nextID++
	if h.node.ReadIndex(c.nextID) == nil {
		h.reads[c.nextID] = c.acked
	}
}

// compact takes one step of replica.maybeCompact: capture, write or install. Any event may come between two
// steps.
func (c *cluster) compact(h *host, trailing uint64) {
	switch {
	case h.snapshot == nil:
		if h.snapshot = h.node.Capture(); h.snapshot != nil {
			h.snapshot.Data = snapshotData(h.hash)
		}
	case !h.written:
		if h.log.WriteSnapshot(h.snapshot) != nil {
			c.crash(h)
			return
		}
		h.written = true
	case !h.node.HasReady():
		c.install(h, trailing)
	}
}

func (c *cluster) install(h *host, trailing uint64) {
	s := h.snapshot
	h.snapshot, h.written = nil, false
	if !h.node.Compact(s) {
		c.stats.Overtaken++
		return
	}
	if h.node.Status().Applied > s.Index {
		c.stats.Delayed++
	}
	if err := h.log.StartAfter(s, h.node.HardState(), h.node.EntriesAfter(s.Index)); err != nil {
		c.crash(h)
		return
	}
	if s.Index > trailing {
		h.node.TrimLog(s.Index - trailing)
	}
}

// canWipe reports whether every membership that may be in force keeps a majority of its disks without h.
func (c *cluster) canWipe(h *host) bool {
	alive := map[consensus.NodeID]bool{}
	for _, o := range c.hosts {
		alive[o.id] = o != h
	}
	for _, m := range c.memberships {
		lived := 0
		for _, v := range m.Voters {
			if alive[v.ID] {
				lived++
			}
		}
		if lived <= len(m.Voters)/2 && m.IsVoter(h.id) {
			return false
		}
	}
	return true
}

// wipe restarts h with an empty disk.
func (c *cluster) wipe(h *host) {
	c.stats.Wipes++
	c.stop(h)
	c.newDisk(h)
	c.start(h)
}

// proposeRepair proposes one membership change, as the repair of a cluster does.
func (c *cluster) proposeRepair(h *host, pick *host) {
	st := h.node.Status()
	next := consensus.Membership{Voters: slices.Clone(st.Membership.Voters), Learners: slices.Clone(st.Membership.Learners)}
	isPick := func(p consensus.Peer) bool { return p.ID == pick.id }
	gone := func(p consensus.Peer) bool {
		return !slices.ContainsFunc(c.hosts, func(o *host) bool { return o.id == p.ID })
	}
	switch {
	case slices.ContainsFunc(next.Voters, gone) && c.rand.IntN(2) == 0:
		i := slices.IndexFunc(next.Voters, gone)
		next.Voters = slices.Delete(next.Voters, i, i+1)
	case next.IsVoter(pick.id):
		next.Voters = slices.DeleteFunc(next.Voters, isPick)
	case next.IsLearner(pick.id):
		next.Learners = slices.DeleteFunc(next.Learners, isPick)
		next.Voters = append(next.Voters, consensus.Peer{ID: pick.id})
	default:
		next.Learners = append(next.Learners, consensus.Peer{ID: pick.id})
	}
	if c.hasMajority(next) && h.node.ProposeMembership(next) == nil {
		c.memberships = append(c.memberships, next)
	}
}

// hasMajority reports whether a majority of the voters' disks still exist.
func (c *cluster) hasMajority(m consensus.Membership) bool {
	lived := 0
	for _, h := range c.hosts {
		if m.IsVoter(h.id) {
			lived++
		}
	}
	return lived > len(m.Voters)/2
}

// checkRecovery removes all faults and requires that all members catch up within 60 election timeouts.
func (c *cluster) checkRecovery() {
	clear(c.cutLinks)
	for _, h := range c.hosts {
		for h.node == nil {
			c.start(h)
		}
		h.fs.CrashAfter(-1)
	}
	for range 60 * electionTicks {
		for _, h := range c.hosts {
			h.node.Tick()
			c.process(h)
		}
		for k := 0; len(c.pool) > 0 && k < 4*poolLimit; k++ {
			c.deliver(0, false)
			c.processAll()
		}
		if c.caughtUp() {
			c.checkLogMatching()
			return
		}
	}
	for _, h := range c.hosts {
		c.t.Logf("%s %+v", h.name, h.node.Status())
	}
	c.t.Fatalf("no leader with all members caught up after 60 election timeouts without a failure")
}

func (c *cluster) processAll() {
	for _, h := range c.hosts {
		if h.node != nil {
			c.process(h)
		}
	}
}

func (c *cluster) caughtUp() bool {
	l := c.leader()
	if l == nil {
		return false
	}
	st := l.node.Status()
	if st.Applied != st.LastIndex || st.Applied < uint64(len(c.committed))+1 {
		return false
	}
	for _, h := range c.hosts {
		member := st.Membership.IsVoter(h.id) || st.Membership.IsLearner(h.id)
		if member && h.index != st.Applied {
			return false
		}
	}
	return true
}
