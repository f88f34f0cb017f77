package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Config configures a Node. Times are in ticks.
type Config struct {
	ID             NodeID
	ElectionTicks  int // a follower campaigns after this long, or up to twice as long, without a leader
	HeartbeatTicks int
	MaxBatchBytes  int // limit for the entries in one message
	// MaxUncommittedBytes limits the uncommitted proposals of a leader; 0 means no limit.
	MaxUncommittedBytes int
	Rand                *rand.Rand

	// Contents of the storage; empty for a new replica.
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Node is one Raft replica. It is not safe for concurrent use: one goroutine owns it.
type Node struct {
	cfg      Config
	id       NodeID
	log      raftLog
	snapshot *Snapshot

	term   uint64
	vote   NodeID
	role   Role
	leader NodeID

	members  Membership
	progress map[NodeID]*Progress // only on the leader
	votes    map[NodeID]bool      // only on candidates

	electionElapsed  int
	heartbeatElapsed int
	transferElapsed  int
	timeout          int

	pendingMembership uint64 // no membership change may be proposed until this index is applied
	transferee        NodeID

	readSeq uint64
	reads   []pendingRead

	messages         []Message
	readStates       []ReadState
	savedHardState   HardState
	receivedSnapshot *Snapshot
	appendDue        bool // entries were proposed since the last broadcast
	uncommitted      int  // bytes proposed in this term and not committed yet
	leaderSeen       bool // a leader was heard from since the start
	readyPending     bool
	readyCommit      uint64
}

// New returns a Node that continues from the stored state in cfg.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, id: cfg.ID, snapshot: cfg.Snapshot}
	if cfg.Snapshot != nil {
		n.log.restore(cfg.Snapshot)
		n.members = cfg.Snapshot.Membership
	}
	for _, e := range cfg.Entries {
		if e.Index == n.log.last()+1 {
			n.log.entries = append(n.log.entries, e)
		}
	}
	n.log.stable = n.log.last()
	n.log.committed = max(n.log.committed, min(cfg.HardState.Commit, n.log.last()))
	n.term, n.vote = cfg.HardState.Term, cfg.HardState.Vote
	if last := n.log.lastTerm(); last > n.term {
		// The snapshot was synced, but not the hard state after it.
		n.term, n.vote = last, ""
	}
	n.savedHardState = n.hardState()
	n.becomeFollower(n.term, "")
	return n
}

// Bootstrap returns the initial snapshot of a new cluster with p as its only voter.
func Bootstrap(p Peer, data []byte) *Snapshot {
	return &Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []Peer{p}}, Data: data}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}

// Tick advances the time by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role != Leader {
		if n.electionElapsed >= n.timeout && n.canCampaign() {
			n.campaign(true, false)
		}
		return
	}
	n.tickTransfer()
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.checkQuorum()
	}
	for _, pr := range n.progress {
		pr.snapshotWait++
	}
	n.heartbeatElapsed++
	if n.role == Leader && n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// checkQuorum makes a leader step down if it has not heard from a quorum for an election timeout. Together
// with the followers' refusal to vote while they hear from a leader, this bounds how long two leaders can
// coexist.
func (n *Node) checkQuorum() {
	active := 0
	for _, v := range n.members.Voters {
		pr := n.progress[v.ID]
		if v.ID == n.id || pr != nil && pr.RecentActive {
			active++
		}
	}
	for _, pr := range n.progress {
		pr.RecentActive = false
	}
	if active < n.members.quorum() {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.progress, n.votes = nil, nil
	n.transferee = ""
	n.failReads()
	n.resetElection()
}

// resetElection draws the next election timeout. A replica that has heard from no leader since it started
// waits only for one heartbeat of a possible leader instead of a full election timeout: it knows of no leader
// that could have failed. This shortens the election after all replicas restart.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	wait := n.cfg.ElectionTicks
	if !n.leaderSeen {
		wait = min(wait, n.cfg.HeartbeatTicks+1)
	}
	n.timeout = wait + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// otherMembers returns the replicas that the leader sends to, in sorted order so that a run can be
// reproduced.
func (n *Node) otherMembers() []NodeID {
	return slices.Sorted(maps.Keys(n.progress))
}

// syncProgress adds and removes progress entries to match the other members.
func (n *Node) syncProgress() {
	for _, p := range n.members.All() {
		if p.ID != n.id && n.progress[p.ID] == nil {
			n.progress[p.ID] = &Progress{Next: n.log.last() + 1, probing: true, RecentActive: true}
		}
	}
	for id := range n.progress {
		if !n.members.IsVoter(id) && !n.members.IsLearner(id) {
			delete(n.progress, id)
		}
	}
}

func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	return e.Index
}

// Propose appends a command to the leader's log and returns its index and term. The command is committed if
// an entry with this index and term is. Followers get it with the next Ready, batched with other proposals.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, ErrNotLeader
	}
	if limit := n.cfg.MaxUncommittedBytes; limit > 0 && n.uncommitted > 0 && n.uncommitted+len(data) > limit {
		return 0, 0, ErrOverloaded
	}
	n.uncommitted += len(data)
	index = n.appendEntry(EntryNormal, data)
	n.appendDue = true
	return index, n.term, nil
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (n *Node) quorumValue(of func(*Progress) uint64, own uint64) uint64 {
	values := make([]uint64, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		switch pr := n.progress[v.ID]; {
		case v.ID == n.id:
			values = append(values, own)
		case pr != nil:
			values = append(values, of(pr))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n.members.quorum()]
}

func (n *Node) send(m Message) { n.sendTerm(m, n.term) }

func (n *Node) sendTerm(m Message, term uint64) {
	m.From, m.Term = n.id, term
	n.messages = append(n.messages, m)
}

// broadcastHeartbeat sends heartbeats and restarts the heartbeat timer, since the round of a read serves the
// same purpose as a periodic one.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, id := range n.otherMembers() {
		pr := n.progress[id]
		n.send(Message{Kind: MsgHeartbeat, To: id, Commit: min(n.log.committed, pr.Match), ReadSeq: n.readSeq})
	}
}

func (n *Node) broadcastAppend() {
	n.appendDue = false
	for _, id := range n.otherMembers() {
		if pr := n.progress[id]; !pr.probing {
			n.sendAppend(id, pr)
		}
	}
}

func (n *Node) sendAppend(id NodeID, pr *Progress) {
	if pr.Snapshot != 0 {
		return
	}
	prev := pr.Next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, pr)
		return
	}
	entries := n.log.slice(prev, n.log.last(), n.cfg.MaxBatchBytes)
	n.send(Message{Kind: MsgAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: n.log.committed})
	if !pr.probing {
		pr.Next += uint64(len(entries))
	}
}

func (n *Node) sendSnapshot(id NodeID, pr *Progress) {
	if n.snapshot == nil {
		return
	}
	pr.Snapshot = n.snapshot.Index
	pr.snapshotWait = 0
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snapshot})
}

// maybeCommit advances the commit index to what a quorum has synced, if the entry there is of the current
// term (Raft paper, section 5.4.2).
func (n *Node) maybeCommit() bool {
	index := n.quorumValue(func(pr *Progress) uint64 { return pr.Match }, n.log.stable)
	t, ok := n.log.term(index)
	if index <= n.log.committed || !ok || t != n.term {
		return false
	}
	for _, e := range n.log.slice(n.log.committed, index, maxInt) {
		if e.Term == n.term && e.Kind == EntryNormal {
			n.uncommitted -= len(e.Data)
		}
	}
	n.log.committed = index
	return true
}
