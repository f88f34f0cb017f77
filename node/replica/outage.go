package replica

import (
	"context"
	"expvar"
	"syscall"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/state"
	"caperdrum.org/node/wal"
)

// reopenInterval is how often a suspended replica tries to write again. Each attempt reads the folder and
// rewrites its log: at most 16 MB until a snapshot is due.
const reopenInterval = 500 * time.Millisecond

var (
	outagesVar   = expvar.NewMap("replica_outages")   // disk outages by fault
	suspendedVar = expvar.NewInt("replica_suspended") // 1 while the replica is suspended
)

// outage describes a disk that accepts no writes.
type outage struct {
	err  error
	kind string
	at   time.Time
}

// errOutage is returned while the replica is suspended by a disk fault.
var errOutage = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the disk of this control process takes no writes")

// diskFault classifies a disk error for logs and metrics.
func diskFault(err error) string {
	switch cause := errors.Cause(err); {
	case errors.Is(cause, syscall.ENOSPC), errors.Is(cause, syscall.EDQUOT), errors.Is(cause, syscall.EFBIG):
		return "full"
	case errors.Is(cause, syscall.EIO):
		return "failing"
	case errors.Is(cause, syscall.EROFS):
		return "read-only"
	}
	return "other"
}

// Outage returns the disk error that suspends the replica, or nil. It never blocks.
func (r *Replica) Outage() error {
	if o := r.outage.Load(); o != nil {
		return o.err
	}
	return nil
}

// suspend takes the replica out of the cluster until its disk accepts writes again. A replica that cannot
// sync must not vote, acknowledge or lead: it drops its unsynced state, and a leader hands over to another
// voter. It returns nil when the replica may resume or ctx has ended.
func (r *Replica) suspend(ctx context.Context, cause error) error {
	if errors.Is(cause, wal.ErrCorrupt) {
		return cause
	}
	o := &outage{err: cause, kind: diskFault(cause), at: r.opts.Clock.Now()}
	r.outage.Store(o)
	outagesVar.Add(o.kind, 1)
	suspendedVar.Set(1)
	defer suspendedVar.Set(0)
	r.opts.Log.Error(cause, "replica suspended", "disk", o.kind, "role", r.node.Status().Role.String(), "term", r.node.Status().Term)
	r.send(r.node.HandoverMessages())
	r.stopParticipating()
	retry := r.opts.Clock.NewTicker(reopenInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.calls:
			f()
		case <-r.inbox: // dropped; consensus resends what matters
		case p := <-r.proposals:
			p.answer <- proposalAnswer{err: ErrNotLeader}
		case <-retry.Chan():
			err := r.reopen()
			if errors.Is(err, wal.ErrCorrupt) {
				return err
			}
			if err == nil {
				r.outage.Store(nil)
				r.opts.Log.Info("replica goes on", "disk", o.kind, "suspended", r.opts.Clock.Since(o.at), "last", r.node.Status().LastIndex, "applied_before", r.viewFloor)
				return nil
			}
			r.opts.Log.V(logging.Detail).Info("disk still fails", "disk", diskFault(err), "suspended", r.opts.Clock.Since(o.at), "error", err.Error())
		}
	}
}

// stopParticipating replaces the node by an empty one without peers, and answers all pending calls.
func (r *Replica) stopParticipating() {
	status := r.node.Status()
	status.Role, status.Leader, status.Progress = consensus.Follower, "", nil
	r.viewFloor = max(r.viewFloor, status.Applied)
	if err := r.discardSnapshot(); err != nil {
		r.opts.Log.Info("snapshot discarded", "error", err.Error())
	}
	r.log.Close()
	r.node = r.newNode(consensus.HardState{}, nil, nil)
	r.status.Store(&status)
	r.failPendingProposals()
	for id, rd := range r.pendingReads {
		delete(r.pendingReads, id)
		rd.answer <- ErrNotLeader
	}
	for _, w := range r.applyWaiters {
		w.answer <- errOutage
	}
	r.applyWaiters = nil
	r.notifyChanged()
}

// reopen restarts from the state on the disk, which wal.Reopen rewrites to a new log file.
func (r *Replica) reopen() error {
	log, stored, err := wal.Reopen(r.opts.FS)
	if err != nil {
		return err
	}
	machine := state.New()
	if stored.Snapshot != nil {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			log.Close()
			return errors.Wrap(err, wal.ErrCorrupt)
		}
	}
	r.log, r.machine, r.fatal = log, machine, nil
	r.node = r.newNode(stored.HardState, stored.Snapshot, stored.Entries)
	r.publish()
	return nil
}
