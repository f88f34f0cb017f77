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

type discardTransport struct{}

// Send implements Transport.
func (discardTransport) Send([]consensus.Peer, []consensus.Message) {}

// slowFS delays writes of snapshots and counts those that overlap.
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

func openDir(t testing.TB, path string) *disk.Dir {
	fs, err := disk.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	return fs
}

// open starts a replica; stop ends it and waits for Run to return.
func open(t testing.TB, fs disk.FS, compactBytes int64) (r *Replica, stop func()) {
	r, err := Open(Options{Name: "c0", FS: fs, Transport: discardTransport{}, Log: logr.Discard(), Seed: 1})
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

func waitUntil(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

func (r *Replica) issueToken(t testing.TB) uint64 {
	res, err := r.Propose(context.Background(), state.Command{Fences: []wire.MemberID{"engine-1"}})
	if err != nil {
		t.Fatal(err)
	}
	return res.Fences[0]
}

// issueTokenAfter requires a token above last and returns it.
func (r *Replica) issueTokenAfter(t testing.TB, last uint64) uint64 {
	n := r.issueToken(t)
	if n <= last {
		t.Fatalf("token %d after %d", n, last)
	}
	return n
}

// Snapshots are nearly always in progress while commands are applied, and the replica is stopped during one.
// Stopping must wait for it, and no acknowledged token may be issued again.
func TestSnapshotsDuringProposals(t *testing.T) {
	fs, last := &slowFS{FS: openDir(t, t.TempDir())}, uint64(0)
	for round := range 3 {
		r, stop := open(t, fs, 1)
		if round == 0 && r.Init(context.Background()) != nil {
			t.Fatal("init")
		}
		waitUntil(r.IsLeader)
		first := r.Status().SnapshotIndex
		for i := 0; i < 20 || r.Status().SnapshotIndex == first; i++ {
			last = r.issueTokenAfter(t, last)
		}
		waitUntil(func() (working bool) {
			r.issueToken(t)
			r.runOnLoop(context.Background(), func() { working = r.snapshotRunning && len(r.snapshotDone) == 0 })
			return working
		})
		stop()
		if fs.busy.Load() > 0 || fs.overlaps.Load() > 0 || r.snapshotRunning {
			t.Fatalf("round %d: still in progress after the stop, or %d at a time", round, fs.overlaps.Load()+1)
		}
	}
}

// Entries between the capture and the end of a snapshot must survive, also if no later snapshot follows.
func TestInstallKeepsEntriesAfterTheCapture(t *testing.T) {
	fs, ctx := openDir(t, t.TempDir()), context.Background()
	r, stop := open(t, fs, compactBytes)
	if r.Init(ctx) != nil {
		t.Fatal("init")
	}
	waitUntil(r.IsLeader)
	var c snapshotResult
	r.runOnLoop(ctx, func() { r.startSnapshot(); c = <-r.snapshotDone })
	last := r.issueTokenAfter(t, r.issueToken(t))
	r.runOnLoop(ctx, func() { r.snapshotDone <- c })
	waitUntil(func() bool { return r.Status().SnapshotIndex == c.snap.Index })
	if applied := r.Status().Applied; applied <= c.snap.Index {
		t.Fatalf("applied %d, captured %d", applied, c.snap.Index)
	}
	stop()
	r, stop = open(t, fs, compactBytes)
	defer stop()
	waitUntil(r.IsLeader)
	r.issueTokenAfter(t, last)
}

// A received snapshot must wait for the one in progress and discard its result.
func TestReceivedSnapshotDiscardsTheCapture(t *testing.T) {
	fs, ctx := &slowFS{FS: openDir(t, t.TempDir())}, context.Background()
	r, stop := open(t, fs, compactBytes)
	if r.Init(ctx) != nil {
		t.Fatal("init")
	}
	waitUntil(r.IsLeader)
	n := r.issueToken(t)
	var received *consensus.Snapshot
	r.runOnLoop(ctx, func() {
		data, _ := r.machine.Snapshot()
		s := r.node.Status()
		received = &consensus.Snapshot{Index: s.LastIndex + 100, Term: s.Term + 1, Data: data,
			Membership: consensus.Membership{Voters: []consensus.Peer{r.self}}}
		r.startSnapshot()
		r.node.Step(consensus.Message{Kind: consensus.MsgSnapshot, From: "other", To: r.self.ID, Term: s.Term + 1, Snapshot: received})
	})
	r.runOnLoop(ctx, func() {
		if s := r.node.Status(); r.snapshotRunning || len(r.snapshotDone) > 0 || s.SnapshotIndex != received.Index {
			t.Errorf("snapshot still running: %v, status %+v", r.snapshotRunning, s)
		}
	})
	stop()
	if fs.overlaps.Load() > 0 {
		t.Error("two snapshots were written at a time")
	}
	r, stop = open(t, fs, compactBytes)
	defer stop()
	waitUntil(r.IsLeader)
	r.issueTokenAfter(t, n)
	if r.Status().CompactedIndex < received.Index {
		t.Fatalf("%+v", r.Status())
	}
}

// BenchmarkSnapshotStall reports the longest time that the loop was blocked when it writes a snapshot itself,
// and when another goroutine does.
func BenchmarkSnapshotStall(b *testing.B) {
	const keys, batch = 320_000, 1000
	r, stop := open(b, openDir(b, b.TempDir()), 1<<40)
	defer stop()
	if r.Init(context.Background()) != nil {
		b.Fatal("init")
	}
	waitUntil(r.IsLeader)
	for from := 0; from < keys; from += batch {
		if _, err := r.Propose(context.Background(), settledClaims(from, batch)); err != nil {
			b.Fatal(err)
		}
	}
	for _, onLoop := range []bool{true, false} {
		b.Run(fmt.Sprintf("on-loop=%v", onLoop), func(b *testing.B) {
			var worst stalls
			for b.Loop() {
				r.issueToken(b)
				worst = r.measureStalls(b, onLoop, worst)
			}
			b.ReportMetric(float64(worst.loop.Milliseconds()), "worst-loop-ms")
			b.ReportMetric(float64(worst.proposal.Milliseconds()), "worst-proposal-ms")
			b.ReportMetric(float64(worst.encode.Milliseconds()), "worst-encode-ms")
			b.ReportMetric(float64(worst.whole.Milliseconds()), "worst-whole-ms")
			b.ReportMetric(float64(r.snapshotBytes)/1e6, "snapshot-MB")
		})
	}
}

// stalls holds the longest times of: a call on the loop, a synced proposal, encoding the state alone, and a
// snapshot from capture to end.
type stalls struct{ loop, proposal, encode, whole time.Duration }

// measureStalls takes a snapshot and merges the longest times into w.
func (r *Replica) measureStalls(b *testing.B, onLoop bool, w stalls) stalls {
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
			longest(&w.proposal, func() { r.issueToken(b) })
		}
	})
	return w
}

func settledClaims(from, n int) (c state.Command) {
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
