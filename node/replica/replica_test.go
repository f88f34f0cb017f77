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

type running struct {
	*replica.Replica
	err  chan error
	stop context.CancelFunc
}

func (n *network) start(t testing.TB, name string, fs disk.FS) *running {
	t.Helper()
	r, err := replica.Open(replica.Options{Name: wire.MemberID(name), FS: fs, Transport: n, Log: logr.Discard(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.replicas[r.Self().ID] = r
	n.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	out := &running{Replica: r, err: make(chan error, 1), stop: stop}
	go func() { out.err <- r.Run(ctx) }()
	t.Cleanup(stop)
	return out
}

// await polls without a limit of its own: go test has one.
func await(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

// cluster starts replicas and makes them all voters; the first one leads.
func cluster(t testing.TB, size int, newFS func(i int) disk.FS) (*network, []*running) {
	n := &network{replicas: map[consensus.NodeID]*replica.Replica{}}
	var all []*running
	for i := range size {
		all = append(all, n.start(t, fmt.Sprint("c", i), newFS(i)))
	}
	ctx := context.Background()
	if err := all[0].Init(ctx); err != nil {
		t.Fatal(err)
	}
	await(all[0].IsLeader)
	for _, r := range all[1:] {
		self := r.Self()
		for _, learner := range []bool{true, false} {
			await(func() bool { return change(all[0], self, learner) })
		}
		await(func() bool { return all[0].Status().Membership.Has(self.ID) })
	}
	return n, all
}

func change(leader *running, p consensus.Peer, learner bool) bool {
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

// A replica whose disk is full takes no part, and acknowledges nothing that it could
// not sync; once the disk takes bytes again it goes on by itself, and so does one that
// is started after a crash: every acknowledged number is still taken.
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
				t.Fatalf("%d after %d", res.Fences[0], last)
			}
			last = res.Fences[0]
		}
		await(func() bool { return all[0].Outage() != nil })
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
		await(all[0].IsLeader)
	}
	fs.SetFreeBytes(0)
	if _, err := all[0].Propose(ctx, fence()); err == nil {
		t.Fatal("acknowledged on a full disk")
	}
	await(func() bool { return all[0].Outage() != nil })
	all[0].stop()
	if err := <-all[0].err; err != nil {
		t.Fatalf("stopped with %v", err)
	}
	fs.Crash()
	again := n.start(t, "c0", fs)
	await(again.IsLeader)
	res, err := again.Propose(ctx, fence())
	if err != nil || last == 0 || res.Fences[0] <= last {
		t.Fatalf("acknowledged %d before, %v after (%v)", last, res.Fences, err)
	}
}

// A leader whose disk is full hands the lead over: another voter leads without it,
// and the one that was suspended catches up once it can write, without showing an
// older state meanwhile.
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
				t.Errorf("%d after %d", res.Fences[0], seen)
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
	await(func() bool {
		draw()
		return old.Outage() != nil
	})
	before := old.View().Fence
	await(func() bool { return leaderOf(all) != old })
	for at := seen; seen < at+20; {
		draw()
	}
	for _, d := range disks {
		d.SetFreeBytes(-1)
	}
	target := seen
	await(func() bool {
		now := old.View().Fence
		if now < before {
			t.Errorf("the view went back from %d to %d", before, now)
		}
		before = now
		return old.Outage() == nil && now >= target
	})
}

// The view holds a command when its proposer is told, and no number is given
// twice while the leader changes.
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
				t.Fatalf("told of command %d, but the view holds %d", joined, got)
			}
			if seen[res.Fences[0]] {
				t.Fatalf("round %d: number %d twice", round, res.Fences[0])
			}
			seen[res.Fences[0]] = true
		}
		old := leaderOf(all)
		await(func() bool {
			old.TransferLeadership(ctx)
			return !old.IsLeader()
		})
	}
	if len(seen) < 50 {
		t.Fatalf("only %d of 150 proposals got through", len(seen))
	}
}

func leaderOf(all []*running) (out *running) {
	await(func() bool {
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
