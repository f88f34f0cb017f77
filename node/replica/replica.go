// Package replica drives the consensus node: it syncs, sends and applies what the node hands out, and lets
// other services propose commands and read the replicated state. A single goroutine owns the node and the
// state.
package replica

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/state"
	"caperdrum.org/node/wal"
)

const (
	tickInterval        = 50 * time.Millisecond
	electionTicks       = 12
	heartbeatTicks      = 3
	maxBatchBytes       = 1 << 20
	maxProposals        = 512      // proposals and message batches handled per sync
	compactBytes        = 16 << 20 // log file size that triggers a snapshot
	trailingEntries     = 1000     // entries kept in memory before a snapshot, for followers that lag
	trailingBytes       = 4 << 20  // limit of their data in bytes
	maxUncommittedBytes = 8 << 20  // bytes that may wait for a quorum; must be below compactBytes
	stampInterval       = 500 * time.Millisecond
)

// neverStamped means that no quorum has confirmed the view yet. Any other value may be a real stamp,
// including negative ones: a leader's confirmation may predate the start of this process.
const neverStamped = math.MinInt64

// Transport sends messages to other replicas. Send never blocks and may lose messages.
type Transport interface {
	Send(peers []consensus.Peer, messages []consensus.Message)
}

// Options configure a Replica.
type Options struct {
	Name      wire.MemberID
	Address   string // peer address of this process
	FS        disk.FS
	Transport Transport
	Log       logr.Logger
	Seed      uint64
	Clock     clockwork.Clock // nil means the system clock
	// StampClock measures the age of confirmations. If it is nil, Clock is used; if that is nil too, the
	// system clock that includes time in suspend.
	StampClock clockwork.Clock
}

// Replica is this process's copy of the replicated state.
type Replica struct {
	opts    Options
	self    consensus.Peer
	log     *wal.Log
	node    *consensus.Node
	machine *state.Machine

	calls     chan func()
	proposals chan *proposal
	inbox     chan []consensus.Message
	done      chan struct{}

	pendingProposals map[uint64]*proposal
	pendingReads     map[uint64]*pendingRead

	snapshotDone    chan snapshotResult // result of the snapshot in progress
	snapshotRunning bool
	compactBytes    int64 // log file size that triggers a snapshot
	snapshotBytes   int64 // size of the last snapshot in bytes
	fatal           error // disk error outside processReady
	nextID          uint64
	confirmedTerm   uint64 // last term in which this replica led and requested a stamp
	applyWaiters    []*applyWaiter
	viewFloor       uint64 // index applied before an outage; no earlier view is published
	logged          loggedStatus

	outage  atomic.Pointer[outage] // nil unless suspended
	view    atomic.Pointer[state.View]
	status  atomic.Pointer[consensus.Status]
	changed atomic.Pointer[chan struct{}]
	stamp   atomic.Int64 // time of the last quorum confirmation, nanoseconds since start, or neverStamped
	start   time.Time
}

type proposal struct {
	data   []byte
	term   uint64
	answer chan proposalAnswer
}

type proposalAnswer struct {
	result state.Result
	err    error
}

type pendingRead struct {
	index  uint64
	answer chan error
}

type applyWaiter struct {
	index  uint64
	answer chan error
}

// Errors of a Replica. Each carries the verdict for the command.
var (
	errOverloaded = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many commands wait for a quorum")

	errStopped        = verdict.New(verdict.MayHaveRun, verdict.CodeShuttingDown, "the control process is stopping")
	errLeadershipLost = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "leadership was lost before the command was committed")
)

// ErrNotLeader means that the command was not accepted.
var ErrNotLeader = consensus.ErrNotLeader

// Open reads the data folder and returns a replica that makes progress only while Run runs.
func Open(opts Options) (*Replica, error) {
	if opts.StampClock == nil {
		opts.StampClock = opts.Clock
	}
	if opts.StampClock == nil {
		opts.StampClock = boottime.System()
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	log, stored, err := wal.Open(opts.FS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Replica{
		opts: opts, log: log, machine: state.New(),
		self:      consensus.Peer{ID: consensus.NodeID(string(opts.Name) + "/" + stored.DiskID), Address: opts.Address},
		calls:     make(chan func()),
		proposals: make(chan *proposal, maxProposals),
		inbox:     make(chan []consensus.Message, 64),
		done:      make(chan struct{}), snapshotDone: make(chan snapshotResult, 1),
		compactBytes:     compactBytes,
		pendingProposals: map[uint64]*proposal{}, pendingReads: map[uint64]*pendingRead{},
		start: opts.StampClock.Now(),
	}
	if stored.Snapshot != nil {
		if err := r.machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r.node = r.newNode(stored.HardState, stored.Snapshot, stored.Entries)
	r.logged.since = opts.Clock.Now()
	opened := r.node.Status()
	opts.Log.Info("log opened", "replica", r.self.ID, "term", opened.Term, "vote", stored.HardState.Vote, "first", opened.CompactedIndex, "last", opened.LastIndex, "committed", opened.Committed,
		"snapshot", opened.SnapshotIndex, "version", r.machine.View().Config.Version, "voters", peerIDs(opened.Membership.Voters))
	r.shortenFirstElection()
	ch := make(chan struct{})
	r.changed.Store(&ch)
	r.stamp.Store(neverStamped)
	r.publish()
	return r, nil
}

// shortenFirstElection skips half of the first election timeout: after a restart of all processes there is no
// leader, and callers wait. While there is a leader its voters refuse the pre-vote, so the restart of one
// process disturbs nothing.
func (r *Replica) shortenFirstElection() {
	for range electionTicks / 2 {
		r.node.Tick()
	}
}

func (r *Replica) newNode(hs consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) *consensus.Node {
	return consensus.New(consensus.Config{
		ID: r.self.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxBatchBytes: maxBatchBytes, MaxUncommittedBytes: maxUncommittedBytes,
		// Replicas with the same seed must draw different timeouts, or no election succeeds.
		Rand:      rand.New(rand.NewPCG(r.opts.Seed, xxhash.Sum64String(string(r.self.ID)))),
		HardState: hs, Snapshot: snap, Entries: entries,
	})
}

// Self returns this replica's ID and address.
func (r *Replica) Self() consensus.Peer { return r.self }

// View returns the current state. It never blocks.
func (r *Replica) View() *state.View { return r.view.Load() }

// Status returns the consensus status. It never blocks.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Changed returns a channel that is closed when the view next changes.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// StampAge returns the time since a quorum last confirmed that the view was current, or a negative duration
// if none has.
func (r *Replica) StampAge() time.Duration {
	s := r.stamp.Load()
	if s == neverStamped {
		return -1
	}
	return r.opts.StampClock.Since(r.start) - time.Duration(s)
}

// SetStamp records that the view was confirmed as current at the given time. It wakes waiters on the first
// stamp and on the first after a gap, because nothing else may change meanwhile.
func (r *Replica) SetStamp(at time.Time) {
	s := int64(at.Sub(r.start))
	for {
		old := r.stamp.Load()
		if old >= s {
			return
		}
		if r.stamp.CompareAndSwap(old, s) {
			if old == neverStamped {
				r.opts.Log.Info("first quorum confirmation", "made_before", r.StampAge(), "after_start", r.opts.StampClock.Since(r.start))
			}
			if old == neverStamped || time.Duration(s-old) > maxStampGap {
				r.notifyChanged()
			}
			return
		}
	}
}

// maxStampGap is the longest time between two stamps that does not count as a gap.
const maxStampGap = 4 * stampInterval

// Leader returns the current leader, or an empty Peer if none is known.
func (r *Replica) Leader() consensus.Peer {
	s := r.status.Load()
	for _, p := range s.Membership.All() {
		if p.ID == s.Leader {
			return p
		}
	}
	return consensus.Peer{}
}

// IsLeader reports whether this replica believes that it leads.
func (r *Replica) IsLeader() bool { return r.status.Load().Role == consensus.Leader }

// Step queues messages from other replicas. It drops them if the queue is full; consensus resends what
// matters.
func (r *Replica) Step(messages []consensus.Message) {
	select {
	case r.inbox <- messages:
	case <-r.done:
	default:
	}
}

// ErrInitialized means that the replica already belongs to a cluster.
var ErrInitialized = errors.New("replica: this data folder already belongs to a cluster")

// Init makes this replica the only voter of a new cluster.
func (r *Replica) Init(ctx context.Context) error {
	var result error
	err := r.runOnLoop(ctx, func() { result = r.init() })
	if err != nil {
		return err
	}
	return result
}

func (r *Replica) init() error {
	if err := r.Outage(); err != nil {
		return err
	}
	s := r.node.Status()
	if s.LastIndex > 0 || s.Term > 0 {
		return ErrInitialized
	}
	snap := consensus.Bootstrap(r.self, nil)
	hs := consensus.HardState{Term: snap.Term, Commit: snap.Index}
	if err := r.log.SaveSnapshot(snap, hs, nil); err != nil {
		r.fatal = errors.Trace(err)
		return r.fatal
	}
	r.node = r.newNode(hs, snap, nil)
	return nil
}

// ChangeMembership proposes the membership that change returns, if it returns true. It may differ from the
// current one by at most one voter.
func (r *Replica) ChangeMembership(ctx context.Context, change func(consensus.Status) (consensus.Membership, bool)) error {
	var result error
	err := r.runOnLoop(ctx, func() {
		if m, ok := change(r.node.Status()); ok {
			result = r.node.ProposeMembership(m)
		}
	})
	if err != nil {
		return err
	}
	return result
}

// TransferLeadership transfers leadership to another voter, if one is reachable.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	return r.runOnLoop(ctx, func() {
		if to := r.node.Successor(); to != "" {
			r.node.TransferLeadership(to)
		}
	})
}
