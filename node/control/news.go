package control

import (
	"context"
	"sync/atomic"
)

// news wakes the held-back sync calls when the configuration or the members
// changed. Most commands change neither.
type news struct {
	cluster cluster
	version uint64
	seq     uint64
	next    atomic.Pointer[chan struct{}]
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
	v := n.cluster.View()
	if v.Config.Version == n.version && v.MembersSeq == n.seq {
		return
	}
	n.version, n.seq = v.Config.Version, v.MembersSeq
	next := make(chan struct{})
	close(*n.next.Swap(&next))
}
