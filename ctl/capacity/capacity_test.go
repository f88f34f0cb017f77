package capacity

import (
	"math"
	"strings"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want Line
	}{
		{"exact", []float64{10, 50, 200}, []float64{25, 105, 405}, Line{Intercept: 5, Slope: 2, R2: 1, From: 10, To: 200}},
		{"flat", []float64{1, 2}, []float64{3, 3}, Line{Intercept: 3, R2: 1, From: 1, To: 2}},
		{"noise", []float64{0, 1, 2, 3}, []float64{0, 2, 1, 3}, Line{Intercept: 0.3, Slope: 0.8, R2: 0.64, From: 0, To: 3}},
	} {
		got := Fit(c.x, c.y)
		if !almostEqual(got.Intercept, c.want.Intercept) || !almostEqual(got.Slope, c.want.Slope) || !almostEqual(got.R2, c.want.R2) || got.From != c.want.From || got.To != c.want.To {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	if got := (Line{Intercept: -4, Slope: 2}).At(10); got != 20 {
		t.Errorf("a negative intercept was counted: %v", got)
	}
}

// syntheticSample returns the sample that results from known unit costs: 100 µs/s per member at a follower,
// 150 at the leader, 10 for forwarded renewals, 30 in the member, and so on.
func syntheticSample(n, customers int) Sample {
	x := float64(n)
	large := float64(customers / 25_000)
	const seconds = 5
	distributed := Phase{Seconds: seconds, Leader: Usage{CPU: seconds * (2000 + 150*x/3 + 10*x*2/3)}, Follower: Usage{CPU: seconds * (1000 + 100*x/3)}, Members: Usage{CPU: seconds * 30 * x, Bytes: seconds * 500 * x}}
	add := func(leader, follower, members, bytes float64) Phase {
		p := distributed
		p.Events = 10
		p.Leader.CPU += 10 * leader
		p.Follower.CPU += 10 * follower
		p.Members.CPU += 10 * members
		p.Members.Bytes += 10 * bytes
		return p
	}
	return Sample{Members: n, Customers: customers, Idle: distributed,
		Aside:     Phase{Seconds: seconds, Leader: Usage{CPU: seconds * (2000 + 10*x)}, Follower: Usage{CPU: seconds * (1000 + 100*x/2)}},
		Changes:   add(400e3*large, 90e3*large+60*x/3, 700*x, 800*x),
		Restarts:  add(5000, 40*x/3, 20*x*x, 900*x),
		Heap:      x * (50e3 + 600*x + 6e6*large),
		LeaderRSS: 20e6 + 4e3*x + 100e6*large,
	}
}

func TestSlopesAreThoseOfTheSamples(t *testing.T) {
	m := &Measurement{Texts: []Sample{syntheticSample(2, 25_000), syntheticSample(12, 25_000)}}
	for _, n := range []int{10, 50, 200, 500} {
		m.Sizes = append(m.Sizes, syntheticSample(n, 100))
	}
	s := SlopesOf(m)
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"leader base", s.LeaderBase.CPU, 2000}, {"follower base", s.FollowerBase.CPU, 1000},
		{"attached", s.AtFollower.CPU, 100}, {"attached at the leader", s.AtLeader.CPU, 150}, {"renewed", s.ForwardedRenewals.CPU, 10},
		{"member", s.Member.CPU, 30}, {"member bytes", s.Member.Bytes, 500},
		{"change", s.Change.Large.CPU, 400e3}, {"change at a follower", s.ChangeFollower.Large.CPU, 90e3}, {"change attached", s.ChangeAttached.CPU, 60},
		{"change in the member", s.ChangeMember.Large.CPU, 700}, {"its bytes", s.ChangeMember.Small.Bytes, 800},
		{"restart", s.Restart.CPU, 5000}, {"restart attached", s.RestartAttached.CPU, 40}, {"restart in a member", s.RestartMember.CPU, 20}, {"its bytes", s.RestartMember.Bytes, 900},
		{"view base", s.ViewBase, 50e3}, {"view", s.ViewMember, 600}, {"leader memory", s.LeaderRSS.Slope, 4e3},
	} {
		if !almostEqual(c.got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}

func TestChangeGrowsWithTheText(t *testing.T) {
	c := Change{Small: Cost{CPU: 10, Bytes: 100}, Large: Cost{CPU: 50, Bytes: 900}}
	if got := c.atShare(0.25); got != (Cost{CPU: 20, Bytes: 300}) {
		t.Error(got)
	}
}

func TestRows(t *testing.T) {
	s := Slopes{LeaderBase: Cost{CPU: 1000}, FollowerBase: Cost{CPU: 500}, AtFollower: Cost{CPU: 100}, AtLeader: Cost{CPU: 150}, ForwardedRenewals: Cost{CPU: 10},
		Member: Cost{CPU: 30, Bytes: 500}, Change: Change{Large: Cost{CPU: 8000}}, ChangeFollower: Change{Large: Cost{CPU: 4000, Bytes: 100}}, ChangeMember: Change{Large: Cost{CPU: 20}}, RestartMember: Cost{CPU: 2, Bytes: 70}, ViewBase: 1e6, ViewMember: 1000}
	flat := s.Rows(Plan{Members: 1000, Customers: 25_000, Voters: 5, Changes: 0.5, Restarts: 0.1})
	want := []Row{
		{Role: "control, leader", Calls: 208, Cost: Cost{CPU: 1000 + 200*150 + 800*10 + 4000, Bytes: 50}},
		{Role: "control, follower", Calls: 202, Cost: Cost{CPU: 500 + 200*100 + 2000, Bytes: 50}},
		{Role: "entry or agent, control only", Calls: 1, Cost: Cost{CPU: 240, Bytes: 507}, Memory: 16.7e6},
	}
	relayed := s.Rows(Plan{Members: 1000, Customers: 0, Voters: 5, Relays: 10})
	want = append(want,
		Row{Role: "control, leader", Calls: 22, Cost: Cost{CPU: 1000 + 2*150 + 1000*10}},
		Row{Role: "control, follower", Calls: 4, Cost: Cost{CPU: 500 + 2*100}},
		Row{Role: "relay", Calls: 102, Cost: Cost{CPU: 500 + 100*100}},
		Row{Role: "entry or agent, control only", Calls: 1, Cost: Cost{CPU: 30, Bytes: 500}, Memory: 16.7e6})
	for i, got := range append(flat, relayed...) {
		w := want[i]
		if got.Role != w.Role || !almostEqual(got.Calls, w.Calls) || !almostEqual(got.CPU, w.CPU) || !almostEqual(got.Bytes, w.Bytes) || !almostEqual(got.Memory, w.Memory) {
			t.Errorf("%+v, want %+v", got, w)
		}
	}
}

func TestOnlyTheMarkedPartIsReplaced(t *testing.T) {
	page, err := replaceMarkedPart([]byte("a\n"+beginMark+"old\n"+endMark+"b\n"), []byte("new\n"))
	if err != nil || string(page) != "a\n"+beginMark+"new\n"+endMark+"b\n" {
		t.Errorf("%q %v", page, err)
	}
	for _, bad := range []string{"", beginMark, endMark + beginMark} {
		if _, err := replaceMarkedPart([]byte(bad), nil); err == nil {
			t.Errorf("%q was accepted as a page", bad)
		}
	}
}

func TestVerdictNamesEveryBudgetThatIsBroken(t *testing.T) {
	r := Row{Role: "entry or agent, control only", Cost: Cost{CPU: budgetCPU, Bytes: budgetBytes}, Memory: budgetMemory}
	if got := r.budgetVerdict(); got != "within" {
		t.Error(got)
	}
	r.CPU, r.Bytes, r.Memory = budgetCPU+1, budgetBytes+1, budgetMemory+1
	if got := r.budgetVerdict(); !strings.Contains(got, "processor") || !strings.Contains(got, "bytes") || !strings.Contains(got, "memory") {
		t.Error(got)
	}
}
