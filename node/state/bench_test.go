package state

import (
	"fmt"
	"runtime"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

const answerBytes = 300

// settleKeys claims and settles n keys with answers of answerBytes.
func settleKeys(b testing.TB, m *Machine, n int) {
	for i := 0; i < n; i += 1000 {
		list := claims(i, min(1000, n-i))
		c := Command{Now: 1, Claims: list}
		for _, claim := range list {
			c.Settles = append(c.Settles, wire.SettleRequest{ClaimKey: claim.ClaimKey, Attempt: claim.Attempt,
				Outcome: wire.Outcome{Verdict: verdict.Ran, Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)}})
		}
		apply(b, m, c)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkLedgerMemory reports the heap bytes per settled key.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				m := New()
				settleKeys(b, m, n)
				b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/key")
				b.ReportMetric(float64(m.ledger.bytes)/float64(n), "counted-B/key")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkSnapshot encodes and restores ledgers.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkSnapshot(b, n) })
	}
}

func benchmarkSnapshot(b *testing.B, n int) {
	m := New()
	settleKeys(b, m, n)
	data, _ := m.Snapshot()
	b.Run("capture", func(b *testing.B) {
		for b.Loop() {
			m.Capture()
		}
	})
	b.Run("capture-and-encode", func(b *testing.B) {
		for b.Loop() {
			m.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "B")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := New().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApplyClaim applies a claim and builds the view with 12500 members, once with the members copied
// for every view and once with the cached copy.
func BenchmarkApplyClaim(b *testing.B) {
	for _, copied := range []bool{true, false} {
		b.Run(fmt.Sprint("members-copied=", copied), func(b *testing.B) {
			m := New()
			for i := range 12_500 {
				apply(b, m, Command{Now: 1, Join: []wire.Member{{ID: wire.MemberID(fmt.Sprint("member-", i)), Gate: "127.0.0.1:7000", Incarnation: 1}}})
			}
			i := 0
			for b.Loop() {
				apply(b, m, Command{Now: 1, Claims: claims(i, 1)})
				if copied {
					m.cache.members = nil
				}
				m.View()
				i++
			}
		})
	}
}
