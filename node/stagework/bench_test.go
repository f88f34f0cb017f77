package stagework

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkScheduler plays bursts of four sizes against the scheduler: what one call
// costs must not grow with the calls that wait.
func BenchmarkScheduler(b *testing.B) {
	for _, times := range []float64{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("load=%g", times), func(b *testing.B) {
			calls := 0
			for b.Loop() {
				m := newLoadModel(1)
				m.traffic(notes, 0, 6*time.Second, 8.4*times)
				m.traffic(returns, 0, 6*time.Second, 15*times)
				m.run(12 * time.Second)
				calls += len(m.ended)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(calls), "µs/call")
		})
	}
}
