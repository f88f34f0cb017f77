package consensus_test

import (
	"reflect"
	"testing"
)

// captureAt starts a snapshot at h. The two steps that remain are taken later.
func captureAt(c *cluster, h *host) {
	c.work(h)
	c.compact(h, 0)
	if h.capture == nil {
		c.t.Fatalf("%s captured nothing", h.name)
	}
}

func (c *cluster) steps(h *host, n int) {
	for range n {
		if h.node != nil && h.capture != nil {
			c.work(h)
			c.compact(h, 0)
		}
	}
}

// The log grows and the membership changes while a snapshot is in work, and
// the only voter's disk crashes at any operation from the write on: it alone
// can give back what was acknowledged.
func TestCrashWhileTheLogOutgrowsItsSnapshot(t *testing.T) {
	for ops, crashes := 0, 1; crashes > 0; ops++ {
		c := newCluster(t, 2, 3)
		run(c, 10)
		a, b := c.hosts[0], c.hosts[1]
		captureAt(c, a)
		snap, before := a.capture, a.capture.Membership
		c.reform(a, b)
		run(c, 10)
		if st := a.node.Status(); a.capture.Index >= st.Applied || !st.Membership.HasLearner(b.id) || before.HasLearner(b.id) {
			t.Fatalf("nothing happened beside the capture at %d: %+v", a.capture.Index, st)
		}
		a.fs.CrashAfter(ops)
		c.steps(a, 1)
		if a.node != nil {
			run(c, 1)
		}
		c.steps(a, 1)
		acked, last := c.acked, uint64(len(c.list))+1
		if crashes = c.did.Crashes; crashes == 0 && (c.did.Delayed != 1 || !reflect.DeepEqual(snap.Membership, before)) {
			t.Fatalf("not installed, or with a later membership: %+v", snap)
		}
		if a.node != nil {
			c.crash(a)
		}
		c.start(a)
		if st := a.node.Status(); acked == 0 || st.Last < acked || st.Last < last {
			t.Fatalf("%d operations: acknowledged %d, committed %d, recovered %+v", ops, acked, last, st)
		}
		c.settle()
		if st := a.node.Status(); !st.Membership.HasLearner(b.id) {
			t.Fatalf("%d operations: the membership change is lost: %+v", ops, st.Membership)
		}
	}
}

// A received snapshot makes the one in work void, whether that is written
// before it or not, and whatever operation a crash strikes.
func TestReceivedSnapshotOvertakesTheCapture(t *testing.T) {
	for _, early := range []int{0, 1} {
		for ops, crashes := 0, 1; crashes > 0; ops++ {
			c := newCluster(t, 3, 5)
			c.grow(3)
			run(c, 10)
			c.settle()
			l := c.leader()
			f := c.hosts[0]
			if f == l {
				f = c.hosts[1]
			}
			captureAt(c, f)
			isolate(c, f)
			run(c, 20)
			for l = c.leader(); l.capture != nil || l.node.Status().First < f.capture.Index; {
				c.work(l)
				c.compact(l, 0)
			}
			c.steps(f, early)
			own := f.capture
			clear(c.cut)
			f.fs.CrashAfter(ops)
			run(c, 20)
			if f.node != nil && f.node.Status().SnapshotIndex <= own.Index {
				t.Fatalf("no snapshot was received: %+v", f.node.Status())
			}
			c.steps(f, 2-early)
			if crashes = c.did.Crashes; crashes == 0 && c.did.Overtaken != 1 {
				t.Fatal("the capture was not made void")
			}
			if f.node != nil {
				c.crash(f)
			}
			c.settle()
		}
	}
}
