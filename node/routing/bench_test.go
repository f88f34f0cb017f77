package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice among endpoints with load reports, learned
// speeds and cached prefixes.
func BenchmarkChoose(b *testing.B) {
	prefix := PrefixHashes("m", []byte(strings.Repeat("0123456789abcdef", 1024)))
	for _, policy := range []string{policyPredicted, policyLeastInFlight, policyRoundRobin, policyRandom} {
		for _, n := range []int{30, 300, 3000} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				s, es := newTestTable(n)
				for i, e := range es {
					e.Report(int64(i%5), int64(i%9), 8)
					e.Start(i).End(Answered)
					if i%10 == 0 {
						e.Sent(prefix[:1+i%len(prefix)])
					}
				}
				now := time.Now()
				b.ReportAllocs()
				for b.Loop() {
					if s.Choose(Request{Service: testService, Policy: policy, Now: now, Size: 16 << 10, Prefix: prefix}) == nil {
						b.Fatal("no endpoint")
					}
				}
			})
		}
	}
}
