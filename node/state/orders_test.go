package state_test

import (
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

type grant struct{ at, bytes int64 }

// TestWeightStoreBudget requests loads from leaders whose wall clocks are skewed and whose monotonic clocks
// start anywhere, restores the state from snapshots in between, and checks the rate limit in every window
// between two grants.
func TestWeightStoreBudget(t *testing.T) {
	const engines = 4
	ids := [engines]wire.MemberID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1000).Draw(t, "rate")
		burst := rapid.Int64Range(1, 5000).Draw(t, "burst")
		m := state.New()
		now, epoch := int64(0), uint64(1)
		skew, start := int64(0), int64(0)
		var grants []grant
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) { now += rapid.Int64Range(1, 3000).Draw(t, "ms") },
			"new leader": func(t *rapid.T) { // a process with any start time and any wall clock
				epoch += rapid.Uint64Range(1, 3).Draw(t, "terms")
				skew = rapid.Int64Range(-1e9, 1e9).Draw(t, "skew")
				start = rapid.Int64Range(-1e9, 0).Draw(t, "start")
			},
			"restore": func(t *rapid.T) {
				data, err := m.Snapshot()
				if err == nil {
					err = m.Restore(data)
				}
				if err != nil {
					t.Fatal(err)
				}
			},
			"ask": func(t *rapid.T) {
				id := ids[rapid.IntRange(0, engines-1).Draw(t, "engine")]
				v := m.View()
				cmd := &state.OrderCommand{Epoch: epoch, Elapsed: now - start, Rate: rate, Burst: burst,
					End:   []wire.OrderReport{{Upstream: id, Token: v.Orders[id].Order.Token, State: wire.OrderDone}},
					Issue: []state.OrderIssue{{After: v.Fences[id], Order: wire.Order{Upstream: id, Bytes: rapid.Int64Range(1, burst).Draw(t, "bytes")}}}}
				data, err := state.Command{Now: now + skew, Orders: cmd}.Encode()
				if err != nil {
					t.Fatal(err)
				}
				res, err := m.Apply(data)
				if err != nil {
					t.Fatal(err)
				}
				if res.Orders[0].Refused == "" {
					grants = append(grants, grant{now, cmd.Issue[0].Order.Bytes})
					checkWindows(t, grants, rate, burst)
				}
			},
		})
	})
}

// checkWindows checks the rate limit in every window that ends at the last grant.
func checkWindows(t *rapid.T, grants []grant, rate, burst int64) {
	last := grants[len(grants)-1]
	sum := int64(0)
	for i := len(grants) - 1; i >= 0; i-- {
		sum += grants[i].bytes
		if window := last.at - grants[i].at; sum*1000 > burst*1000+rate*window {
			t.Fatalf("%d bytes in %d ms, rate %d, burst %d", sum, window, rate, burst)
		}
	}
}

// TestWeightStoreRefills checks that the budget does grant loads; TestWeightStoreBudget would pass if it
// granted none.
func TestWeightStoreRefills(t *testing.T) {
	m := state.New()
	permitted := 0
	for second := range int64(10) {
		v := m.View()
		cmd := &state.OrderCommand{Epoch: 1, Elapsed: second * 1000, Rate: 100, Burst: 100,
			End:   []wire.OrderReport{{Upstream: "a", Token: v.Orders["a"].Order.Token, State: wire.OrderDone}},
			Issue: []state.OrderIssue{{After: v.Fences["a"], Order: wire.Order{Upstream: "a", Bytes: 100}}}}
		data, err := state.Command{Orders: cmd}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		res, err := m.Apply(data)
		if err != nil {
			t.Fatal(err)
		}
		if res.Orders[0].Refused == "" {
			permitted++
		}
	}
	if permitted != 10 {
		t.Fatalf("%d of 10 loads at the store's rate were granted", permitted)
	}
}
