// Package replica drives consensus: it syncs, sends and applies what the pure
// state machine hands out, and lets the other services propose commands and
// read the state. One goroutine owns the consensus node and the state.
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
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 3
	maxBatchBytes  = 1 << 20
	maxProposals   = 512      // proposals taken into one sync
	compactBytes   = 16 << 20 // log file size that calls for a snapshot
	trailing       = 1000     // entries kept before a snapshot for followers that lag
	trailingBytes  = 4 << 20  // and their bytes
	maxUncommitted = 8 << 20  // bytes that may wait for a quorum; below compactBytes
	stampInterval  = 500 * time.Millisecond
)

// neverStamped stands for no confirmation yet. Any other figure may be that of one: a leader's is from before this
// process's start, where it has just started.
const neverStamped = math.MinInt64

// Transport sends messages to other replicas. It never blocks and may lose
// messages.
type Transport interface {
	Send(peers []consensus.Peer, messages []consensus.Message)
}

// Options set up a Replica.
type Options struct {
	Name      wire.MemberID
	Address   string // peer address of this process
	FS        disk.FS
	Transport Transport
	Log       logr.Logger
	Seed      uint64
	Clock     clockwork.Clock // nil is the system's
	// StampClock is by which confirmations age; nil is Clock where there is one, else the system's
	// with the time in suspension.
	StampClock clockwork.Clock
}

// Replica is this process's copy of the replicated state.
type Replica struct {
	opts    Options
	self    consensus.Peer
	log     *wal.Log
	node    *consensus.Node
	machine *state.Machine

	calls   chan func()
	propose chan *proposal
	steps   chan []consensus.Message
	done    chan struct{}

	waiting map[uint64]*proposal
	readers map[uint64]*reader

	captured      chan captured // the snapshot in work, once it is durable
	capturing     bool
	compactBytes  int64 // log file size that calls for a snapshot
	snapshotBytes int64 // size of the last snapshot
	fatal         error // the disk failed outside process
	nextID        uint64
	stamped       uint64 // the last term in which this replica led and asked for a confirmation at once
	waiters       []*applyWaiter
	floor         uint64 // applied before an outage; the view never goes below
	beliefs       beliefs

	outage  atomic.Pointer[outage] // nil while the replica takes part
	view    atomic.Pointer[state.View]
	status  atomic.Pointer[consensus.Status]
	changed atomic.Pointer[chan struct{}]
	stamp   atomic.Int64 // time of the last quorum confirmation, nanoseconds since start; neverStamped
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

type reader struct {
	index  uint64
	answer chan error
}

type applyWaiter struct {
	index  uint64
	answer chan error
}

// Errors of a Replica. All carry a verdict for the command.
var (
	errOverloaded = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many commands wait for a quorum")

	errStopped = verdict.New(verdict.MayHaveRun, verdict.CodeShuttingDown, "the control process is stopping")
	errLost    = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "leadership was lost before the command was committed")
)

// ErrNotLeader says that the command was not taken.
var ErrNotLeader = consensus.ErrNotLeader

// Open reads the data folder. Run must be called to make progress.
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
		self:    consensus.Peer{ID: consensus.NodeID(string(opts.Name) + "/" + stored.DiskID), Address: opts.Address},
		calls:   make(chan func()),
		propose: make(chan *proposal, maxProposals),
		steps:   make(chan []consensus.Message, 64),
		done:    make(chan struct{}), captured: make(chan captured, 1),
		compactBytes: compactBytes,
		waiting:      map[uint64]*proposal{}, readers: map[uint64]*reader{},
		start: opts.StampClock.Now(),
	}
	if stored.Snapshot != nil {
		if err := r.machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r.node = r.newNode(stored.HardState, stored.Snapshot, stored.Entries)
	r.beliefs.since = opts.Clock.Now()
	opened := r.node.Status()
	opts.Log.Info("log read", "replica", r.self.ID, "term", opened.Term, "vote", stored.HardState.Vote, "first", opened.First, "last", opened.Last, "committed", opened.Committed,
		"snapshot", opened.SnapshotIndex, "version", r.machine.View().Config.Version, "voters", names(opened.Membership.Voters))
	r.hurry()
	ch := make(chan struct{})
	r.changed.Store(&ch)
	r.stamp.Store(neverStamped)
	r.publish()
	return r, nil
}

// hurry spends half of the first election timeout at once: after a loss of all
// processes nobody leads, and callers wait. While there is a leader its voters
// refuse the pre-vote, so a single restart disturbs nothing.
func (r *Replica) hurry() {
	for range electionTicks / 2 {
		r.node.Tick()
	}
}

func (r *Replica) newNode(hs consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) *consensus.Node {
	return consensus.New(consensus.Config{
		ID: r.self.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxBatchBytes: maxBatchBytes, MaxUncommittedBytes: maxUncommitted,
		// Replicas with one seed must not wait alike, or no election ends.
		Rand:      rand.New(rand.NewPCG(r.opts.Seed, xxhash.Sum64String(string(r.self.ID)))),
		HardState: hs, Snapshot: snap, Entries: entries,
	})
}

// Self returns this replica's identity.
func (r *Replica) Self() consensus.Peer { return r.self }

// View returns the current state. It never blocks.
func (r *Replica) View() *state.View { return r.view.Load() }

// Status returns the consensus status. It never blocks.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// StampAge returns how long ago a quorum confirmed that the view was current,
// or a negative duration when that never happened.
func (r *Replica) StampAge() time.Duration {
	s := r.stamp.Load()
	if s == neverStamped {
		return -1
	}
	return r.opts.StampClock.Since(r.start) - time.Duration(s)
}

// SetStamp records that the view is known to be current as of the given time. Who waits for a change is woken by
// the first one, and by the first after a gap: there may be nothing else to wait for.
func (r *Replica) SetStamp(at time.Time) {
	s := int64(at.Sub(r.start))
	for {
		old := r.stamp.Load()
		if old >= s {
			return
		}
		if r.stamp.CompareAndSwap(old, s) {
			if old == neverStamped {
				r.opts.Log.Info("first confirmation by a quorum", "made_before", r.StampAge(), "after_start", r.opts.StampClock.Since(r.start))
			}
			if old == neverStamped || time.Duration(s-old) > stampGap {
				r.announce()
			}
			return
		}
	}
}

// stampGap is between two confirmations that follow each other without a gap: several of a leader's intervals.
const stampGap = 4 * stampInterval

// Leader returns the leader's identity; it is empty when none is known.
func (r *Replica) Leader() consensus.Peer {
	s := r.status.Load()
	for _, p := range s.Membership.All() {
		if p.ID == s.Leader {
			return p
		}
	}
	return consensus.Peer{}
}

// IsLeader reports whether this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.status.Load().Role == consensus.Leader }

// Step hands in messages from other replicas. It drops them when the replica
// is too busy; consensus repeats what matters.
func (r *Replica) Step(messages []consensus.Message) {
	select {
	case r.steps <- messages:
	case <-r.done:
	default:
	}
}

// ErrInitialized says that the replica already belongs to a cluster.
var ErrInitialized = errors.New("replica: this data folder already belongs to a cluster")

// Init makes this replica the only voter of a new cluster.
func (r *Replica) Init(ctx context.Context) error {
	var result error
	err := r.do(ctx, func() { result = r.init() })
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
	if s.Last > 0 || s.Term > 0 {
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

// ChangeMembership proposes a membership that differs by at most one voter.
func (r *Replica) ChangeMembership(ctx context.Context, change func(consensus.Status) (consensus.Membership, bool)) error {
	var result error
	err := r.do(ctx, func() {
		if m, ok := change(r.node.Status()); ok {
			result = r.node.ProposeMembership(m)
		}
	})
	if err != nil {
		return err
	}
	return result
}

// TransferLeadership hands the lead to another voter, if there is one that is
// up to date.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	return r.do(ctx, func() {
		if to := r.node.Successor(); to != "" {
			r.node.TransferLeadership(to)
		}
	})
}
