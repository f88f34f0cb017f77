package control

import (
	"context"
	"sync/atomic"
)

// changeNotifier wakes sync calls that are waiting (long polls) when a part of the state changes that their
// replies contain. Most commands change no such part.
type changeNotifier struct {
	cluster cluster
	last    syncState
	next    atomic.Pointer[chan struct{}]
}

// syncState is what a sync reply depends on: a waiting call returns when it changes.
type syncState struct {
	version, seq, fence, term, owner uint64
	evacuations, suspects, rollouts  uint64 // revisions
	outage                           bool   // the replica has suspended its participation
	confirmed                        bool   // the last confirmation is recent enough for an initial view
}

func syncStateOf(c cluster) syncState {
	v := c.View()
	return syncState{version: v.Config.Version, seq: v.MembersSeq, fence: v.Fence, term: c.Status().Term, owner: v.Owner.Epoch,
		evacuations: v.Evacuations.Revision, suspects: v.Suspects.Revision, rollouts: v.Rollouts.Revision,
		outage: c.Outage() != nil, confirmed: confirmsInitialView(c.StampAge())}
}

func newChangeNotifier(c cluster) *changeNotifier {
	n := &changeNotifier{cluster: c}
	ch := make(chan struct{})
	n.next.Store(&ch)
	return n
}

// changed returns a channel that is closed at the next change after the call.
func (n *changeNotifier) changed() <-chan struct{} { return *n.next.Load() }

func (n *changeNotifier) run(ctx context.Context) {
	for {
		command := n.cluster.Changed()
		n.check()
		select {
		case <-ctx.Done():
			return
		case <-command:
		}
	}
}

func (n *changeNotifier) check() {
	now := syncStateOf(n.cluster)
	if now == n.last {
		return
	}
	n.last = now
	next := make(chan struct{})
	close(*n.next.Swap(&next))
}
