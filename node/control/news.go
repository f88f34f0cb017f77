package control

import (
	"context"
	"sync/atomic"
)

// news wakes the held-back sync calls when the configuration, the members, the
// evacuations, the suspects, the roll-outs, the fences or the term changed, or the replica takes no part any more. Most commands
// change none of them.
type news struct {
	cluster     cluster
	version     uint64
	seq         uint64
	fence       uint64
	term        uint64
	owner       uint64
	evacuations uint64
	suspects    uint64
	rollouts    uint64
	outage      bool
	confirmed   bool // what is known makes a first view
	next        atomic.Pointer[chan struct{}]
}

func newNews(c cluster) *news {
	n := &news{cluster: c}
	ch := make(chan struct{})
	n.next.Store(&ch)
	return n
}

// changed returns a channel that is closed at the next change after the call.
func (n *news) changed() <-chan struct{} { return *n.next.Load() }

func (n *news) run(ctx context.Context) {
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

func (n *news) check() {
	v, term, outage := n.cluster.View(), n.cluster.Status().Term, n.cluster.Outage() != nil
	confirmed := usable(n.cluster.StampAge())
	if outage == n.outage && confirmed == n.confirmed && v.Config.Version == n.version && v.MembersSeq == n.seq && v.Fence == n.fence && term == n.term && v.Owner.Epoch == n.owner && v.Evacuations.Revision == n.evacuations && v.Suspects.Revision == n.suspects && v.Rollouts.Revision == n.rollouts {
		return
	}
	n.version, n.seq, n.fence, n.term, n.owner = v.Config.Version, v.MembersSeq, v.Fence, term, v.Owner.Epoch
	n.confirmed = confirmed
	n.outage, n.evacuations, n.suspects, n.rollouts = outage, v.Evacuations.Revision, v.Suspects.Revision, v.Rollouts.Revision
	next := make(chan struct{})
	close(*n.next.Swap(&next))
}
