package capacity

import (
	"fmt"
	"strings"
)

// Budget of the control plane on a node that also does other work.
const (
	budgetCPU    = 31_000. // µs per second: 3.1% of a core
	budgetBytes  = 14_000. // bytes per second
	budgetMemory = 32e6
)

// Tables returns the measured part of the page in Markdown.
func Tables(m *Measurement) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured %s on %d cores.\n\n", m.MeasuredAt.Format("2006-01-02 15:04 MST"), m.Cores)
	samplesTable(&b, m)
	s := SlopesOf(m)
	slopesTable(&b, s)
	rowsTable(&b, s)
	b.WriteString("![processor time](capacity-processor.svg)\n\n![bytes](capacity-bytes.svg)\n")
	return b.String()
}

func samplesTable(b *strings.Builder, m *Measurement) {
	b.WriteString("| members, customers | load average, 1 and 5 min | idle: leader, follower, members together, ms/s | idle, all at the followers: leader, follower, ms/s | a change: leader, follower, ms | in force on all, p50 / p99, ms | a restart: leader, ms; members together, kB | heap a member, kB | leader resident, MB |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range append(append([]Sample{}, m.Sizes...), m.Texts...) {
		followersOnly := "not run"
		if s.Aside.Seconds > 0 {
			followersOnly = fmt.Sprintf("%.1f, %.1f", s.Aside.perSecond(leaderCPU)/1000, s.Aside.perSecond(followerCPU)/1000)
		}
		fmt.Fprintf(b, "| %d, %d | %s | %.1f, %.1f, %.1f | %s | %.1f, %.1f | %.1f / %.0f | %.1f; %.0f | %.0f | %.0f |\n",
			s.Members, s.Customers, s.Load, s.Idle.perSecond(leaderCPU)/1000, s.Idle.perSecond(followerCPU)/1000, s.Idle.perSecond(membersCPU)/1000, followersOnly,
			s.Changes.perEvent(s.Idle, leaderCPU)/1000, s.Changes.perEvent(s.Idle, followerCPU)/1000, s.InForce50, s.InForce99,
			s.Restarts.perEvent(s.Idle, leaderCPU)/1000, s.Restarts.perEvent(s.Idle, membersBytes)/1000,
			s.Heap/float64(s.Members)/1000, s.LeaderRSS/1e6)
	}
	b.WriteString("\n")
}

func slopesTable(b *strings.Builder, s Slopes) {
	b.WriteString("| slope | processor time, µs | bytes |\n|---|---|---|\n")
	for _, r := range []struct {
		name string
		Cost
	}{
		{"leader without members, a second", s.LeaderBase}, {"follower without members, a second", s.FollowerBase},
		{"member that synchronizes at the leader, a second", s.AtLeader}, {"member that synchronizes at a follower, a second", s.AtFollower},
		{"renewals passed on to the leader, a second and member", s.ForwardedRenewals}, {"in the member, a second", s.Member},
		{"change, 25,000 customers, at the leader of three", s.Change.Large}, {"the same at a follower", s.ChangeFollower.Large},
		{"change, 100 customers, at the leader of three", s.Change.Small}, {"the same at a follower", s.ChangeFollower.Small},
		{"change, 100 customers, at control for each member attached", s.ChangeAttached}, {"change, 25,000 customers, in the member", s.ChangeMember.Large}, {"change, 100 customers, in the member", s.ChangeMember.Small},
		{"restart, at the leader", s.Restart}, {"restart, at control for each member attached", s.RestartAttached},
		{"restart, in each member that learns of it (processor time: for each member it knows)", s.RestartMember},
	} {
		fmt.Fprintf(b, "| %s | %.1f | %.0f |\n", r.name, r.CPU, r.Bytes)
	}
	fmt.Fprintf(b, "\nMemory in use: a member's view %.0f kB and %.0f B for each member known; 25,000 customers %.1f MB in a member; leader %.1f MB and %.1f kB for each member, and %.0f MB with 25,000 customers.\n\n",
		s.ViewBase/1000, s.ViewMember, s.TextMember/1e6, s.LeaderRSS.Intercept/1e6, s.LeaderRSS.Slope/1000, s.TextControl/1e6)
}

func rowsTable(b *strings.Builder, s Slopes) {
	b.WriteString("| plan | role | calls/s | a core, % | kB/s | memory, MB | against 3.1%, 14 kB/s, 32 MB |\n|---|---|---|---|---|---|---|\n")
	for _, p := range Plans {
		for _, r := range s.Rows(p) {
			fmt.Fprintf(b, "| %s | %s | %.0f | %.2f | %.1f | %.1f | %s |\n", r.Plan, r.Role, r.Calls, r.CPU/1e4, r.Bytes/1000, r.Memory/1e6, r.budgetVerdict())
		}
	}
	b.WriteString("\n")
}

// budgetVerdict lists the budgets that a process on a shared node exceeds. Control processes and relays have
// VMs of their own, to which the budgets don't apply.
func (r Row) budgetVerdict() string {
	if !strings.HasPrefix(r.Role, "entry") {
		return "VM of its own"
	}
	var broken []string
	if r.CPU > budgetCPU {
		broken = append(broken, "processor")
	}
	if r.Bytes > budgetBytes {
		broken = append(broken, "bytes")
	}
	if r.Memory > budgetMemory {
		broken = append(broken, "memory")
	}
	if broken == nil {
		return "within"
	}
	return "over: " + strings.Join(broken, ", ")
}
