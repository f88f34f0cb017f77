package replica_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/state"
)

// network is an in-memory transport between replicas of one process.
type network struct {
	mu       sync.Mutex
	replicas map[consensus.NodeID]*replica.Replica
}

// Send implements replica.Transport.
func (n *network) Send(_ []consensus.Peer, messages []consensus.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range messages {
		if r := n.replicas[m.To]; r != nil {
			r.Step([]consensus.Message{m})
		}
	}
}

type runningReplica struct {
	*replica.Replica
	err  chan error
	stop context.CancelFunc
}

func (n *network) start(t testing.TB, name string, fs disk.FS) *runningReplica {
	t.Helper()
	r, err := replica.Open(replica.Options{Name: wire.MemberID(name), FS: fs, Transport: n, Log: logr.Discard(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.replicas[r.Self().ID] = r
	n.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	out := &runningReplica{Replica: r, err: make(chan error, 1), stop: stop}
	go func() { out.err <- r.Run(ctx) }()
	t.Cleanup(stop)
	return out
}

// waitUntil polls without a time limit of its own; go test has one.
func waitUntil(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

// cluster starts replicas and makes all of them voters; the first one leads.
func cluster(t testing.TB, size int, newFS func(i int) disk.FS) (*network, []*runningReplica) {
	n := &network{replicas: map[consensus.NodeID]*replica.Replica{}}
	var all []*runningReplica
	for i := range size {
		all = append(all, n.start(t, fmt.Sprint("c", i), newFS(i)))
	}
	ctx := context.Background()
	if err := all[0].Init(ctx); err != nil {
		t.Fatal(err)
	}
	waitUntil(all[0].IsLeader)
	for _, r := range all[1:] {
		self := r.Self()
		for _, learner := range []bool{true, false} {
			waitUntil(func() bool { return change(all[0], self, learner) })
		}
		waitUntil(func() bool { return all[0].Status().Membership.IsVoter(self.ID) })
	}
	return n, all
}

func change(leader *runningReplica, p consensus.Peer, learner bool) bool {
	err := leader.ChangeMembership(context.Background(), func(s consensus.Status) (consensus.Membership, bool) {
		m := s.Membership
		if learner {
			return consensus.Membership{Voters: m.Voters, Learners: []consensus.Peer{p}}, true
		}
		return consensus.Membership{Voters: append(m.All()[:len(m.Voters):len(m.Voters)], p)}, true
	})
	return err == nil
}

func fence() state.Command { return state.Command{Fences: []wire.MemberID{"engine-1"}} }

func TestInitTwiceIsRefused(t *testing.T) {
	_, all := cluster(t, 1, func(int) disk.FS { return disktest.New(1) })
	if err := all[0].Init(context.Background()); err != replica.ErrInitialized {
		t.Fatal(err)
	}
}

// A replica whose disk is full must be suspended and acknowledge nothing that it could not sync. It resumes
// by itself once the disk accepts writes, and so does one that is restarted after a crash: every acknowledged
// token is still recorded.
func TestFullDiskSuspendsTheReplica(t *testing.T) {
	fs := disktest.New(1)
	n, all := cluster(t, 1, func(int) disk.FS { return fs })
	ctx := context.Background()
	last := uint64(0)
	for range 2 {
		fs.SetFreeBytes(4000)
		for {
			res, err := all[0].Propose(ctx, fence())
			if err != nil {
				break
			}
			if res.Fences[0] <= last {
				t.Fatalf("token %d after %d", res.Fences[0], last)
			}
			last = res.Fences[0]
		}
		waitUntil(func() bool { return all[0].Outage() != nil })
		if errors.Cause(all[0].Outage()) != syscall.ENOSPC || all[0].IsLeader() {
			t.Fatalf("%v, leads %v", all[0].Outage(), all[0].IsLeader())
		}
		if err := all[0].ReadBarrier(ctx); err == nil {
			t.Fatal("a read was confirmed")
		}
		if all[0].View().Fence < last {
			t.Fatalf("the view went back to %d", all[0].View().Fence)
		}
		fs.SetFreeBytes(-1)
		waitUntil(all[0].IsLeader)
	}
	fs.SetFreeBytes(0)
	if _, err := all[0].Propose(ctx, fence()); err == nil {
		t.Fatal("acknowledged on a full disk")
	}
	waitUntil(func() bool { return all[0].Outage() != nil })
	all[0].stop()
	if err := <-all[0].err; err != nil {
		t.Fatalf("stopped with %v", err)
	}
	fs.Crash()
	again := n.start(t, "c0", fs)
	waitUntil(again.IsLeader)
	res, err := again.Propose(ctx, fence())
	if err != nil || last == 0 || res.Fences[0] <= last {
		t.Fatalf("acknowledged %d before, %v after (%v)", last, res.Fences, err)
	}
}

// A leader whose disk is full must hand over: another voter leads without it, and the suspended one catches
// up once it can write, without publishing an older state meanwhile.
func TestLeaderWithAFullDiskIsReplaced(t *testing.T) {
	disks := map[int]*disktest.FS{}
	_, all := cluster(t, 3, func(i int) disk.FS {
		disks[i] = disktest.New(uint64(i))
		return disks[i]
	})
	ctx := context.Background()
	seen := uint64(0)
	draw := func() {
		if res, err := leaderOf(all).Propose(ctx, fence()); err == nil {
			if res.Fences[0] <= seen {
				t.Errorf("token %d after %d", res.Fences[0], seen)
			}
			seen = res.Fences[0]
		}
	}
	for range 20 {
		draw()
	}
	old := leaderOf(all)
	for i, r := range all {
		if r == old {
			disks[i].SetFreeBytes(0)
		}
	}
	waitUntil(func() bool {
		draw()
		return old.Outage() != nil
	})
	before := old.View().Fence
	waitUntil(func() bool { return leaderOf(all) != old })
	for at := seen; seen < at+20; {
		draw()
	}
	for _, d := range disks {
		d.SetFreeBytes(-1)
	}
	target := seen
	waitUntil(func() bool {
		now := old.View().Fence
		if now < before {
			t.Errorf("the view went back from %d to %d", before, now)
		}
		before = now
		return old.Outage() == nil && now >= target
	})
}

// The view must hold a command when its proposer gets the answer, and no token may be issued twice while the
// leader changes.
func TestProposalsAcrossLeaders(t *testing.T) {
	_, all := cluster(t, 3, func(i int) disk.FS { return disktest.New(uint64(i)) })
	seen := map[uint64]bool{}
	joined := uint64(0)
	ctx := context.Background()
	for round := range 3 {
		for range 50 {
			leader := leaderOf(all)
			joined++
			c := fence()
			c.Join = []wire.Member{{ID: "m", Incarnation: joined}}
			res, err := leader.Propose(ctx, c)
			if err != nil {
				continue
			}
			if got := leader.View().Members["m"].Incarnation; got != joined {
				t.Fatalf("got the answer to command %d, but the view holds %d", joined, got)
			}
			if seen[res.Fences[0]] {
				t.Fatalf("round %d: token %d issued twice", round, res.Fences[0])
			}
			seen[res.Fences[0]] = true
		}
		old := leaderOf(all)
		waitUntil(func() bool {
			old.TransferLeadership(ctx)
			return !old.IsLeader()
		})
	}
	if len(seen) < 50 {
		t.Fatalf("only %d of 150 proposals succeeded", len(seen))
	}
}

func leaderOf(all []*runningReplica) (out *runningReplica) {
	waitUntil(func() bool {
		for _, r := range all {
			if r.IsLeader() {
				out = r
				return true
			}
		}
		return false
	})
	return out
}
