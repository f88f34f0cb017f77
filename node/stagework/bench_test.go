package stagework

import (
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// BenchmarkScheduler plays bursts of four sizes against the scheduler: the cost of a call must
// not grow with the number of waiting calls.
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

// BenchmarkChooseEngine chooses among as many engines as sites of 60, 600 and 6,000 have: the
// cost of a choice must not grow with their number.
func BenchmarkChooseEngine(b *testing.B) {
	for _, n := range []int{60, 600, 6000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			e, now := newEngines(), time.Unix(1000, 0)
			var list []wire.Member
			for i := range n {
				list = append(list, wire.Member{ID: wire.MemberID(fmt.Sprintf("i-%08x", i)), Service: "llm", DataCenter: fmt.Sprint("dc", i%4)})
			}
			e.setMembers(nil, map[string][]wire.Member{"llm": list})
			prompts := make([]*Prompt, 5*n)
			for i := range prompts {
				prompts[i] = &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: fmt.Sprintf("base%08x", i%40), Tokens: 500}, {ID: fmt.Sprintf("thing%08x", i), Tokens: 3000}, {ID: "own", Tokens: 1000}}}
			}
			i := 0
			for b.Loop() {
				i++
				p := prompts[i%len(prompts)]
				k := e.assign(now, p, e.choose(now, now.Add(time.Second), p, nil))
				e.finishAssignment(now.Add(100*time.Millisecond), k, EngineStarted)
			}
		})
	}
}
