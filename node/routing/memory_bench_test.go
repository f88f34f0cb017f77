package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTableMemory measures the heap that an entry's table uses per endpoint,
// without prefixes.
//
//	go test ./node/routing -run - -bench TableMemory -benchtime 1x
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{30, 300, 3000, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				s, _ := newTestTable(n)
				b.ReportMetric((heapInUse()-before)/float64(n), "B/endpoint")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
