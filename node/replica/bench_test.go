package replica_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"caperdrum.org/node/disk"
)

func realDisk(b *testing.B) func(int) disk.FS {
	return func(i int) disk.FS {
		fs, err := disk.OpenDir(fmt.Sprintf("%s/%d", b.TempDir(), i))
		if err != nil {
			b.Fatal(err)
		}
		return fs
	}
}

// BenchmarkSync measures an append of a command's size plus its sync, the baseline for a commit: by one
// writer, and by three at a time, as three replicas on one disk do.
func BenchmarkSync(b *testing.B) {
	for _, writers := range []int{1, 3} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			var files []disk.File
			for i := range writers {
				f, err := realDisk(b)(i).Create("file")
				if err != nil {
					b.Fatal(err)
				}
				files = append(files, f)
			}
			measure(b, 1, func() error { return syncAll(files) })
		})
	}
}

// syncAll syncs all files concurrently and returns when the slowest sync is done.
func syncAll(files []disk.File) error {
	errs := make(chan error, len(files))
	for _, f := range files {
		go func() {
			f.Write(make([]byte, 120))
			errs <- f.Sync()
		}()
	}
	for range files {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", size, clients), func(b *testing.B) {
				_, all := cluster(b, size, realDisk(b))
				measure(b, clients, func() error {
					_, err := leaderOf(all).Propose(context.Background(), fence())
					return err
				})
			})
		}
	}
}

// measure runs do b.N times, spread over some clients, and reports latencies.
func measure(b *testing.B, clients int, do func() error) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	b.ResetTimer()
	for c := range clients {
		wg.Go(func() {
			for i := c; i < b.N; i += clients {
				start := time.Now()
				err := do()
				mu.Lock()
				h.RecordValue(time.Since(start).Microseconds())
				if err != nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(failed), "failed")
}
