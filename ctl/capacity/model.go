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

// Slopes are the costs of control by their causes.
type Slopes struct {
	LeaderBase, FollowerBase Cost // a second, without members
	Attached                 Cost // a second and member that synchronizes at a follower
	AttachedLeader           Cost // the same at the leader
	Renewed                  Cost // a second and member whose renewals a follower passes on to the leader
	Member                   Cost // a second, in the member

	Change         Cost // a change with a large text, at the leader of three
	ChangeFollower Cost // the same at a follower
	ChangeAttached Cost // a change and attached member, at control
	ChangeMember   Cost // a change, in the member with a large text

	Restart         Cost // a restart, at the leader
	RestartAttached Cost // a restart and attached member, at control
	RestartMember   Cost // a restart, in each member that learns of it

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

	s.Change = base(event(m.Texts, changed, leaderCPU), event(m.Texts, changed, leaderBytes))
	s.ChangeFollower = base(event(m.Texts, changed, followerCPU), event(m.Texts, changed, followerBytes))
	s.ChangeAttached = slope(event(m.Sizes, changed, followerCPU), event(m.Sizes, changed, followerBytes), voters)
	s.ChangeMember = slope(event(m.Texts, changed, membersCPU), event(m.Texts, changed, membersBytes), 1)
	s.Restart = base(event(m.Sizes, restarted, leaderCPU), event(m.Sizes, restarted, leaderBytes))
	s.RestartAttached = slope(event(m.Sizes, restarted, followerCPU), event(m.Sizes, restarted, followerBytes), voters)
	s.RestartMember = slope(event(m.Sizes, restarted, membersCPU), event(m.Sizes, restarted, membersBytes), 1)

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

// renewalCalls are the calls that a follower makes at the leader, a second.
const renewalCalls = 2

// Rows works out a plan: leader, follower, relay and member.
func (s Slopes) Rows(p Plan) []Row {
	text := p.Customers / 25_000 // the cost of a change grows with the text
	attached, renewed := p.Members/p.Voters, p.Members*(p.Voters-1)/p.Voters
	if p.Relays > 0 {
		attached, renewed = 0, p.Members
	}
	perMember := s.ChangeAttached
	events := func(c Cost, n float64) Cost {
		return c.plus(perMember, p.Changes*n).plus(s.RestartAttached, p.Restarts*n)
	}

	leader := s.LeaderBase.plus(s.AttachedLeader, attached).plus(s.Renewed, renewed)
	leader = events(leader, attached).plus(s.Change, p.Changes*text).plus(s.Restart, p.Restarts)
	// What a follower reads the leader wrote; half of its bytes are its log.
	more := Cost{Bytes: s.ChangeFollower.Bytes / 2}
	leader = leader.plus(more, p.Changes*text*(p.Voters-voters))
	follower := events(s.FollowerBase.plus(s.Attached, attached), attached).plus(s.ChangeFollower, p.Changes*text)
	member := s.Member.plus(s.ChangeMember, p.Changes).plus(s.RestartMember, p.Restarts*p.Members)

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
		relay := events(s.FollowerBase.plus(s.Attached, n), n).plus(s.ChangeFollower, p.Changes*text)
		rows = append(rows, Row{p.Name, "relay", n + renewalCalls, relay, control})
	}
	view := s.ViewBase + s.ViewMember*p.Members + s.TextMember*text
	return append(rows, Row{p.Name, "entry or agent, control only", 1, member, view})
}
