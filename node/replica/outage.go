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

// reopenInterval is how often a replica whose disk failed tries to write again.
// Each try reads the folder and writes what it holds: 16 MB of log at most before a
// snapshot is due.
const reopenInterval = 500 * time.Millisecond

var (
	outagesVar   = expvar.NewMap("replica_outages")   // of the disk, by what was wrong
	suspendedVar = expvar.NewInt("replica_suspended") // 1 while the replica takes no part
)

// outage is a disk that takes no bytes.
type outage struct {
	err  error
	kind string
	at   time.Time
}

// errOutage says that the replica takes no part while its disk fails.
var errOutage = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the disk of this control process takes no writes")

// diskFault names what is wrong with a disk, for logs and metrics.
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

// Outage returns why the replica takes no part now, or nil. It never blocks.
func (r *Replica) Outage() error {
	if o := r.outage.Load(); o != nil {
		return o.err
	}
	return nil
}

// suspend takes the replica out of the cluster until its disk takes bytes again. A
// replica that cannot sync must not vote, acknowledge or lead: what it knows in
// memory beyond its disk is forgotten, and a leader lets another voter take over.
// It returns nil when the replica may go on, or when ctx has ended.
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
	r.send(r.node.Resign())
	r.leaveCluster()
	retry := r.opts.Clock.NewTicker(reopenInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.calls:
			f()
		case <-r.steps: // consensus repeats what matters
		case p := <-r.propose:
			p.answer <- proposalAnswer{err: ErrNotLeader}
		case <-retry.Chan():
			err := r.reopen()
			if errors.Is(err, wal.ErrCorrupt) {
				return err
			}
			if err == nil {
				r.outage.Store(nil)
				r.opts.Log.Info("replica goes on", "disk", o.kind, "suspended", r.opts.Clock.Since(o.at), "last", r.node.Status().Last, "applied_before", r.floor)
				return nil
			}
			r.opts.Log.V(logging.Detail).Info("disk still fails", "disk", diskFault(err), "suspended", r.opts.Clock.Since(o.at), "error", err.Error())
		}
	}
}

// leaveCluster makes the replica one that knows nobody, and answers all who wait.
func (r *Replica) leaveCluster() {
	status := r.node.Status()
	status.Role, status.Leader, status.Progress = consensus.Follower, "", nil
	r.floor = max(r.floor, status.Applied)
	if err := r.dropCapture(); err != nil {
		r.opts.Log.Info("snapshot given up", "error", err.Error())
	}
	r.log.Close()
	r.node = r.newNode(consensus.HardState{}, nil, nil)
	r.status.Store(&status)
	r.failWaiting()
	for id, rd := range r.readers {
		delete(r.readers, id)
		rd.answer <- ErrNotLeader
	}
	for _, w := range r.waiters {
		w.answer <- errOutage
	}
	r.waiters = nil
	r.announce()
}

// reopen goes on from what is on the disk, written anew.
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
