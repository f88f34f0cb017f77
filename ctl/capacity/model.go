package capacity

// Plan is a size to work out the costs at.
type Plan struct {
	Name      string
	Members   float64 // entries and agents
	Customers float64
	Voters    float64
	Relays    float64 // 0 when members call the voters themselves
	Changes   float64 // of configuration, per second
	Restarts  float64 // members that come anew, per second
}

const day = 24 * 3600

// Plans are the two deployments of today, and the size to design for without
// and with relays. The rate of changes is the same for all, so that the lines
// compare.
var Plans = []Plan{
	{Name: "Argyris today", Members: 39 + 4, Customers: 5, Voters: 3, Changes: 27_000. / day, Restarts: 43. / day},
	{Name: "Blomsterhallen today", Members: 30 + 4, Customers: 5, Voters: 3, Changes: 27_000. / day, Restarts: 34. / day},
	{Name: "design, no relays", Members: 450 + 12_000, Customers: 25_000, Voters: 5, Changes: 27_000. / day, Restarts: (2500 + 110) / day},
	{Name: "design, 36 relays (not built)", Members: 450 + 12_000, Customers: 25_000, Voters: 5, Relays: 36, Changes: 27_000. / day, Restarts: (2500 + 110) / day},
}

// Cost is what one process spends.
type Cost struct {
	CPU   float64 // µs of processor time a second
	Bytes float64 // read and written, a second
}

func (c Cost) plus(o Cost, times float64) Cost {
	return Cost{CPU: c.CPU + o.CPU*times, Bytes: c.Bytes + o.Bytes*times}
}

// Change is the cost of a change of one customer.
type Change struct {
	Small, Large Cost // with 100 and 25,000 customers in the text
}

// of returns the cost with a share of the large text.
func (c Change) of(share float64) Cost {
	return Cost{}.plus(c.Small, 1-share).plus(c.Large, share)
}

// Slopes are the costs of control by their causes.
type Slopes struct {
	LeaderBase, FollowerBase Cost // a second, without members
	Attached                 Cost // a second and member that synchronizes at a follower
	AttachedLeader           Cost // the same at the leader
	Renewed                  Cost // a second and member whose renewals a follower passes on to the leader
	Member                   Cost // a second, in the member

	Change         Change // at the leader of three
	ChangeFollower Change
	ChangeAttached Cost // a change and attached member, at control
	ChangeMember   Change

	Restart         Cost // a restart, at the leader
	RestartAttached Cost // a restart and attached member, at control
	RestartMember   Cost // a restart, in each member that learns of it, by members known (CPU) and at all (Bytes)

	ViewBase, ViewMember float64 // bytes of a member's view, by members known
	TextMember           float64 // bytes of a large text in a member
	LeaderRSS            Line    // resident bytes of the leader, by members
	TextControl          float64 // resident bytes of the leader with a large text, over a small one
}

// SlopesOf fits lines through the samples. Of the three control processes each
// has a third of the members, and half of them at a follower in Aside.
func SlopesOf(m *Measurement) Slopes {
	rate := func(phase func(Sample) Phase, use func(Phase) float64) Line {
		return fitOver(m.Sizes, func(s Sample) float64 { return phase(s).rate(use) })
	}
	event := func(samples []Sample, phase func(Sample) Phase, use func(Phase) float64) Line {
		return fitOver(samples, func(s Sample) float64 { return phase(s).perEvent(s.Idle, use) })
	}
	slope := func(cpu, bytes Line, times float64) Cost { return Cost{cpu.Slope * times, bytes.Slope * times} }
	base := func(cpu, bytes Line) Cost { return Cost{max(cpu.Base, 0), max(bytes.Base, 0)} }

	s := Slopes{}
	leaderC, leaderB := rate(aside, leaderCPU), rate(aside, leaderBytes)
	followC, followB := rate(aside, followerCPU), rate(aside, followerBytes)
	s.LeaderBase, s.FollowerBase = base(leaderC, leaderB), base(followC, followB)
	s.Attached = slope(followC, followB, voters-1)
	s.Renewed = slope(leaderC, leaderB, 1)
	spread := slope(rate(idle, leaderCPU), rate(idle, leaderBytes), voters)
	s.AttachedLeader = spread.plus(s.Renewed, -(voters - 1))
	s.Member = slope(rate(idle, membersCPU), rate(idle, membersBytes), 1)

	change := func(samples []Sample, cpu, bytes func(Phase) float64) Cost {
		return base(event(samples, changed, cpu), event(samples, changed, bytes))
	}
	s.Change = Change{change(m.Sizes, leaderCPU, leaderBytes), change(m.Texts, leaderCPU, leaderBytes)}
	s.ChangeFollower = Change{change(m.Sizes, followerCPU, followerBytes), change(m.Texts, followerCPU, followerBytes)}
	s.ChangeAttached = slope(event(m.Sizes, changed, followerCPU), event(m.Sizes, changed, followerBytes), voters)
	inMember := func(samples []Sample) Cost {
		return slope(event(samples, changed, membersCPU), event(samples, changed, membersBytes), 1)
	}
	s.ChangeMember = Change{inMember(m.Sizes), inMember(m.Texts)}
	s.Restart = base(event(m.Sizes, restarted, leaderCPU), event(m.Sizes, restarted, leaderBytes))
	s.RestartAttached = slope(event(m.Sizes, restarted, followerCPU), event(m.Sizes, restarted, followerBytes), voters)
	// A member copies its list with each restart, so its time grows with the list.
	copied := fitOver(m.Sizes, func(s Sample) float64 { return s.Restarts.perEvent(s.Idle, membersCPU) / float64(s.Members) })
	s.RestartMember = Cost{copied.Slope, event(m.Sizes, restarted, membersBytes).Slope}

	view := fitOver(m.Sizes, func(s Sample) float64 { return s.Heap / float64(s.Members) })
	s.ViewBase, s.ViewMember = max(view.Base, 0), view.Slope
	s.TextMember = fitOver(m.Texts, func(s Sample) float64 { return s.Heap }).Slope
	s.LeaderRSS = fitOver(m.Sizes, func(s Sample) float64 { return s.LeaderRSS })
	s.TextControl = max(0, m.Texts[0].LeaderRSS-s.LeaderRSS.At(0))
	return s
}

func idle(s Sample) Phase      { return s.Idle }
func aside(s Sample) Phase     { return s.Aside }
func changed(s Sample) Phase   { return s.Changes }
func restarted(s Sample) Phase { return s.Restarts }

func fitOver(samples []Sample, of func(Sample) float64) Line {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, float64(s.Members)), append(y, of(s))
	}
	return Fit(x, y)
}

// Row is what one process of a role spends in a plan.
type Row struct {
	Plan, Role string
	Calls      float64 // answered or made, a second
	Cost
	Memory float64 // bytes
}

const (
	// idleResident is an idle agent of the demonstration, in bytes; see
	// MEASUREMENTS.md and scripts/idle.sh.
	idleResident = 12.7e6
	// collectorFactor is how far the heap may outgrow what is in use before
	// the next collection, with Go's default GOGC=100.
	collectorFactor = 2
)

// renewalCalls are the calls that a follower makes at the leader, a second.
const renewalCalls = 2

// Rows works out a plan: leader, follower, relay and member.
func (s Slopes) Rows(p Plan) []Row {
	text := p.Customers / 25_000 // the cost of a change grows with the text
	attached, renewed := p.Members/p.Voters, p.Members*(p.Voters-1)/p.Voters
	if p.Relays > 0 {
		attached, renewed = p.Relays/p.Voters, p.Members
	}
	perMember := s.ChangeAttached
	events := func(c Cost, n float64) Cost {
		return c.plus(perMember, p.Changes*n).plus(s.RestartAttached, p.Restarts*n)
	}

	leader := s.LeaderBase.plus(s.AttachedLeader, attached).plus(s.Renewed, renewed)
	leader = events(leader, attached).plus(s.Change.of(text), p.Changes).plus(s.Restart, p.Restarts)
	// What a follower reads the leader wrote; half of its bytes are its log.
	more := Cost{Bytes: s.ChangeFollower.of(text).Bytes / 2}
	leader = leader.plus(more, p.Changes*(p.Voters-voters))
	follower := events(s.FollowerBase.plus(s.Attached, attached), attached).plus(s.ChangeFollower.of(text), p.Changes)
	learned := Cost{CPU: s.RestartMember.CPU * p.Members, Bytes: s.RestartMember.Bytes}
	member := s.Member.plus(s.ChangeMember.of(text), p.Changes).plus(learned, p.Restarts)

	control := s.LeaderRSS.At(p.Members) + s.TextControl*text
	senders := p.Voters - 1
	if p.Relays > 0 {
		senders = p.Relays
	}
	rows := []Row{
		{p.Name, "control, leader", attached + renewalCalls*senders, leader, control},
		{p.Name, "control, follower", attached + renewalCalls, follower, control},
	}
	if p.Relays > 0 {
		n := p.Members / p.Relays
		// It takes changes as a member does, by deltas.
		relay := events(s.FollowerBase.plus(s.Attached, n), n).plus(s.ChangeMember.of(text), p.Changes).plus(learned, p.Restarts)
		rows = append(rows, Row{p.Name, "relay", n + renewalCalls, relay, control})
	}
	view := s.ViewBase + s.ViewMember*p.Members + s.TextMember*text
	return append(rows, Row{p.Name, "entry or agent, control only", 1, member, idleResident + collectorFactor*view})
}
