package replica

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/state"
)

type nowhere struct{}

// Send implements Transport.
func (nowhere) Send([]consensus.Peer, []consensus.Message) {}

// slowFS takes its time to write a snapshot and counts those that overlap.
type slowFS struct {
	disk.FS
	busy, overlaps atomic.Int32
}

// Create implements disk.FS.
func (fs *slowFS) Create(name string) (disk.File, error) {
	if strings.HasPrefix(name, "snap-") {
		if fs.busy.Add(1) > 1 {
			fs.overlaps.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
		fs.busy.Add(-1)
	}
	return fs.FS.Create(name)
}

func folder(t testing.TB, path string) *disk.Dir {
	fs, err := disk.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	return fs
}

// open starts a replica; stop returns when Run has.
func open(t testing.TB, fs disk.FS, compactBytes int64) (r *Replica, stop func()) {
	r, err := Open(Options{Name: "c0", FS: fs, Transport: nowhere{}, Log: logr.Discard(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	r.compactBytes = compactBytes
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	return r, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}

func until(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

func (r *Replica) fence(t testing.TB) uint64 {
	res, err := r.Propose(context.Background(), state.Command{Fences: []wire.MemberID{"engine-1"}})
	if err != nil {
		t.Fatal(err)
	}
	return res.Fences[0]
}

// fenceAfter demands a number above last and returns it.
func (r *Replica) fenceAfter(t testing.TB, last uint64) uint64 {
	n := r.fence(t)
	if n <= last {
		t.Fatalf("number %d after %d", n, last)
	}
	return n
}

// A snapshot is nearly always in work while commands are applied, and each stop
// comes while one is: it waits for it, and no acknowledged number comes again.
func TestSnapshotsBesideProposals(t *testing.T) {
	fs, last := &slowFS{FS: folder(t, t.TempDir())}, uint64(0)
	for round := range 3 {
		r, stop := open(t, fs, 1)
		if round == 0 && r.Init(context.Background()) != nil {
			t.Fatal("init")
		}
		until(r.IsLeader)
		first := r.Status().SnapshotIndex
		for i := 0; i < 20 || r.Status().SnapshotIndex == first; i++ {
			last = r.fenceAfter(t, last)
		}
		until(func() (working bool) {
			r.fence(t)
			r.runOnLoop(context.Background(), func() { working = r.snapshotRunning && len(r.snapshotDone) == 0 })
			return working
		})
		stop()
		if fs.busy.Load() > 0 || fs.overlaps.Load() > 0 || r.snapshotRunning {
			t.Fatalf("round %d: in work after the stop, or %d at a time", round, fs.overlaps.Load()+1)
		}
	}
}

// What comes between capture and install stays, also without a later snapshot.
func TestInstallKeepsWhatCameAfterTheCapture(t *testing.T) {
	fs, ctx := folder(t, t.TempDir()), context.Background()
	r, stop := open(t, fs, compactBytes)
	if r.Init(ctx) != nil {
		t.Fatal("init")
	}
	until(r.IsLeader)
	var c snapshotResult
	r.runOnLoop(ctx, func() { r.startSnapshot(); c = <-r.snapshotDone })
	last := r.fenceAfter(t, r.fence(t))
	r.runOnLoop(ctx, func() { r.snapshotDone <- c })
	until(func() bool { return r.Status().SnapshotIndex == c.snap.Index })
	if applied := r.Status().Applied; applied <= c.snap.Index {
		t.Fatalf("applied %d, captured %d", applied, c.snap.Index)
	}
	stop()
	r, stop = open(t, fs, compactBytes)
	defer stop()
	until(r.IsLeader)
	r.fenceAfter(t, last)
}

// A received snapshot waits for the one in work and makes it void.
func TestReceivedSnapshotMakesTheCaptureVoid(t *testing.T) {
	fs, ctx := &slowFS{FS: folder(t, t.TempDir())}, context.Background()
	r, stop := open(t, fs, compactBytes)
	if r.Init(ctx) != nil {
		t.Fatal("init")
	}
	until(r.IsLeader)
	n := r.fence(t)
	var received *consensus.Snapshot
	r.runOnLoop(ctx, func() {
		data, _ := r.machine.Snapshot()
		s := r.node.Status()
		received = &consensus.Snapshot{Index: s.Last + 100, Term: s.Term + 1, Data: data,
			Membership: consensus.Membership{Voters: []consensus.Peer{r.self}}}
		r.startSnapshot()
		r.node.Step(consensus.Message{Kind: consensus.MsgSnapshot, From: "other", To: r.self.ID, Term: s.Term + 1, Snapshot: received})
	})
	r.runOnLoop(ctx, func() {
		if s := r.node.Status(); r.snapshotRunning || len(r.snapshotDone) > 0 || s.SnapshotIndex != received.Index {
			t.Errorf("still in work: %v, status %+v", r.snapshotRunning, s)
		}
	})
	stop()
	if fs.overlaps.Load() > 0 {
		t.Error("two snapshots were written at a time")
	}
	r, stop = open(t, fs, compactBytes)
	defer stop()
	until(r.IsLeader)
	r.fenceAfter(t, n)
	if r.Status().First < received.Index {
		t.Fatalf("%+v", r.Status())
	}
}

// BenchmarkSnapshotStall reports the longest time that the loop did not answer
// while it took a snapshot itself, and while another goroutine does.
func BenchmarkSnapshotStall(b *testing.B) {
	const keys, batch = 320_000, 1000
	r, stop := open(b, folder(b, b.TempDir()), 1<<40)
	defer stop()
	if r.Init(context.Background()) != nil {
		b.Fatal("init")
	}
	until(r.IsLeader)
	for from := 0; from < keys; from += batch {
		if _, err := r.Propose(context.Background(), settled(from, batch)); err != nil {
			b.Fatal(err)
		}
	}
	for _, onLoop := range []bool{true, false} {
		b.Run(fmt.Sprintf("on-loop=%v", onLoop), func(b *testing.B) {
			var worst stalls
			for b.Loop() {
				r.fence(b)
				worst = r.stall(b, onLoop, worst)
			}
			b.ReportMetric(float64(worst.loop.Milliseconds()), "worst-loop-ms")
			b.ReportMetric(float64(worst.proposal.Milliseconds()), "worst-proposal-ms")
			b.ReportMetric(float64(worst.encode.Milliseconds()), "worst-encode-ms")
			b.ReportMetric(float64(worst.whole.Milliseconds()), "worst-whole-ms")
			b.ReportMetric(float64(r.snapshotBytes)/1e6, "snapshot-MB")
		})
	}
}

// stalls are the longest times of: a call on the loop, a synced proposal,
// encoding the state alone, and a snapshot from capture to install.
type stalls struct{ loop, proposal, encode, whole time.Duration }

// stall takes a snapshot and adds what it held up to w.
func (r *Replica) stall(b *testing.B, onLoop bool, w stalls) stalls {
	longest := func(of *time.Duration, f func()) {
		start := time.Now()
		f()
		*of = max(*of, time.Since(start))
	}
	call := func(f func()) { longest(&w.loop, func() { r.runOnLoop(context.Background(), f) }) }
	var image *state.Image
	r.runOnLoop(context.Background(), func() { image = r.machine.Capture() })
	longest(&w.encode, func() { image.Encode() })
	before := r.Status().SnapshotIndex
	longest(&w.whole, func() {
		call(func() {
			r.startSnapshot()
			if !onLoop {
				return
			}
			if err := r.finishSnapshot(<-r.snapshotDone); err != nil {
				b.Error(err)
			}
		})
		for r.Status().SnapshotIndex == before {
			call(func() {})
			longest(&w.proposal, func() { r.fence(b) })
		}
	})
	return w
}

func settled(from, n int) (c state.Command) {
	for i := range n {
		id := fmt.Sprintf("%016d", from+i)
		claim := wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: "customer", Key: id + id}, Attempt: wire.AttemptID(id + id + "----"),
			BodyHash: id + id + id + id, Endpoint: "desk-1", Gate: "127.0.0.1:7000", Incarnation: 1, RequestID: wire.RequestID(id + id + "----")}
		c.Claims = append(c.Claims, claim)
		c.Settles = append(c.Settles, wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt,
			Outcome: wire.Outcome{Verdict: verdict.Ran, Status: 200, ContentType: "application/json", Body: make([]byte, 300)}})
	}
	return c
}
