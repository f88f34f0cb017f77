package control

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/state"
)

type noTransport struct{}

func (noTransport) Send([]consensus.Peer, []consensus.Message) {}

// openReplica starts the only voter of a cluster. Its data is in the folder CAPERDRUM_BENCH_DIR, or in the
// temporary folder if that is not set.
func openReplica(b *testing.B) (*replica.Replica, string) {
	dir, err := os.MkdirTemp(os.Getenv("CAPERDRUM_BENCH_DIR"), "claims")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	fs, err := disk.OpenDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	r, err := replica.Open(replica.Options{Name: "control-1", FS: fs, Transport: noTransport{}, Log: logr.Discard(), Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	if err := r.Init(ctx); err != nil {
		b.Fatal(err)
	}
	for !r.IsLeader() {
		<-r.Changed()
	}
	return r, dir
}

// fileBytes returns the total size of the files in a folder.
func fileBytes(b *testing.B, dir string) (n int64) {
	files, err := os.ReadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += info.Size()
		}
	}
	return n
}

// BenchmarkClaims lets many callers make claims concurrently: each as its own log entry, or all waiting ones
// as one entry.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 32, 256} {
		for _, batched := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%d/batched=%t", callers, batched), func(b *testing.B) {
				r, dir := openReplica(b)
				claim := func(c wire.ClaimRequest) error {
					_, err := r.Propose(context.Background(), state.Command{Claims: []wire.ClaimRequest{c}})
					return err
				}
				if batched {
					claim = newBatch(r).claim
				}
				before := fileBytes(b, dir)
				b.ResetTimer()
				runClaims(b, callers, claim)
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
				b.ReportMetric(float64(fileBytes(b, dir)-before)/float64(b.N), "log-B/claim")
			})
		}
	}
}

func runClaims(b *testing.B, callers int, claim func(wire.ClaimRequest) error) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				id := fmt.Sprintf("%036d", i)
				if err := claim(wire.ClaimRequest{ClaimKey: wire.ClaimKey{Customer: "a", Key: id}, Attempt: wire.AttemptID(id), BodyHash: id + id, Endpoint: "desk-1"}); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// batch proposes all claims that accumulated during the previous proposal.
type batch struct {
	r       *replica.Replica
	mu      sync.Mutex
	busy    bool
	waiting []wire.ClaimRequest
	answers []chan error
}

func newBatch(r *replica.Replica) *batch { return &batch{r: r} }

func (b *batch) claim(c wire.ClaimRequest) error {
	ch := make(chan error, 1)
	b.mu.Lock()
	b.waiting, b.answers = append(b.waiting, c), append(b.answers, ch)
	if !b.busy {
		b.busy = true
		go b.send()
	}
	b.mu.Unlock()
	return <-ch
}

func (b *batch) send() {
	for {
		b.mu.Lock()
		claims, answers := b.waiting, b.answers
		b.waiting, b.answers = nil, nil
		b.busy = len(claims) > 0
		b.mu.Unlock()
		if len(claims) == 0 {
			return
		}
		_, err := b.r.Propose(context.Background(), state.Command{Claims: claims})
		for _, a := range answers {
			a <- err
		}
	}
}
