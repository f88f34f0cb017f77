package consensus_test

import (
	"reflect"
	"testing"
)

// captureAt starts a snapshot on h. Writing and installing it are left to later steps.
func captureAt(c *cluster, h *host) {
	c.process(h)
	c.compact(h, 0)
	if h.snapshot == nil {
		c.t.Fatalf("%s had nothing to capture", h.name)
	}
}

func (c *cluster) steps(h *host, n int) {
	for range n {
		if h.node != nil && h.snapshot != nil {
			c.process(h)
			c.compact(h, 0)
		}
	}
}

// The log grows and the membership changes while a snapshot is in progress, and the disk of the only voter
// crashes at any operation from its write on. That disk alone can recover what was acknowledged.
func TestCrashWhileTheLogOutgrowsItsSnapshot(t *testing.T) {
	for ops, crashes := 0, 1; crashes > 0; ops++ {
		c := newCluster(t, 2, 3)
		run(c, 10)
		a, b := c.hosts[0], c.hosts[1]
		captureAt(c, a)
		snap, before := a.snapshot, a.snapshot.Membership
		c.proposeRepair(a, b)
		run(c, 10)
		if st := a.node.Status(); a.snapshot.Index >= st.Applied || !st.Membership.IsLearner(b.id) || before.IsLearner(b.id) {
			t.Fatalf("no entry was applied after the capture at %d: %+v", a.snapshot.Index, st)
		}
		a.fs.CrashAfter(ops)
		c.steps(a, 1)
		if a.node != nil {
			run(c, 1)
		}
		c.steps(a, 1)
		acked, last := c.acked, uint64(len(c.committed))+1
		if crashes = c.stats.Crashes; crashes == 0 && (c.stats.Delayed != 1 || !reflect.DeepEqual(snap.Membership, before)) {
			t.Fatalf("snapshot not installed, or with a later membership: %+v", snap)
		}
		if a.node != nil {
			c.crash(a)
		}
		c.start(a)
		if st := a.node.Status(); acked == 0 || st.LastIndex < acked || st.LastIndex < last {
			t.Fatalf("%d operations: acknowledged %d, committed %d, recovered %+v", ops, acked, last, st)
		}
		c.checkRecovery()
		if st := a.node.Status(); !st.Membership.IsLearner(b.id) {
			t.Fatalf("%d operations: the membership change is lost: %+v", ops, st.Membership)
		}
	}
}

// A received snapshot supersedes the one in progress, whether that one is written before or after it, and at
// whatever operation the disk crashes.
func TestReceivedSnapshotOvertakesTheCapture(t *testing.T) {
	for _, early := range []int{0, 1} {
		for ops, crashes := 0, 1; crashes > 0; ops++ {
			c := newCluster(t, 3, 5)
			c.addVoters(3)
			run(c, 10)
			c.checkRecovery()
			l := c.leader()
			f := c.hosts[0]
			if f == l {
				f = c.hosts[1]
			}
			captureAt(c, f)
			isolate(c, f)
			run(c, 20)
			for l = c.leader(); l.snapshot != nil || l.node.Status().CompactedIndex < f.snapshot.Index; {
				c.process(l)
				c.compact(l, 0)
			}
			c.steps(f, early)
			own := f.snapshot
			clear(c.cutLinks)
			f.fs.CrashAfter(ops)
			run(c, 20)
			if f.node != nil && f.node.Status().SnapshotIndex <= own.Index {
				t.Fatalf("no snapshot was received: %+v", f.node.Status())
			}
			c.steps(f, 2-early)
			if crashes = c.stats.Crashes; crashes == 0 && c.stats.Overtaken != 1 {
				t.Fatal("the snapshot in progress was not discarded")
			}
			if f.node != nil {
				c.crash(f)
			}
			c.checkRecovery()
		}
	}
}
