package capacity

// Plan is a cluster size to calculate the costs for.
type Plan struct {
	Name      string
	Members   float64 // entries and agents
	Customers float64
	Voters    float64
	Relays    float64 // 0 if members connect to the voters directly
	Changes   float64 // configuration changes per second
	Restarts  float64 // member restarts per second
}

const day = 24 * 3600

// Plans are the two current deployments and the design size with and without relays. All have the same rate
// of changes, to be comparable.
var Plans = []Plan{
	{Name: "Argyris today", Members: 39 + 4, Customers: 5, Voters: 3, Changes: 27_000. / day, Restarts: 43. / day},
	{Name: "Blomsterhallen today", Members: 30 + 4, Customers: 5, Voters: 3, Changes: 27_000. / day, Restarts: 34. / day},
	{Name: "design, no relays", Members: 450 + 12_000, Customers: 25_000, Voters: 5, Changes: 27_000. / day, Restarts: (2500 + 110) / day},
	{Name: "design, 36 relays (not built)", Members: 450 + 12_000, Customers: 25_000, Voters: 5, Relays: 36, Changes: 27_000. / day, Restarts: (2500 + 110) / day},
}

// Cost is the cost for one process.
type Cost struct {
	CPU   float64 // CPU time, µs per second
	Bytes float64 // bytes read and written per second
}

func (c Cost) plus(o Cost, times float64) Cost {
	return Cost{CPU: c.CPU + o.CPU*times, Bytes: c.Bytes + o.Bytes*times}
}

// Change is the cost of changing one customer.
type Change struct {
	Small, Large Cost // with 100 and 25,000 customers in the configuration
}

// atShare interpolates the cost for a configuration of share times the large one's customers.
func (c Change) atShare(share float64) Cost {
	return Cost{}.plus(c.Small, 1-share).plus(c.Large, share)
}

// Slopes are the costs of the control plane by cause.
type Slopes struct {
	LeaderBase, FollowerBase Cost // per second, without members
	AtFollower               Cost // per second and member that synchronizes with a follower
	AtLeader                 Cost // per second and member that synchronizes with the leader
	ForwardedRenewals        Cost // per second and member whose renewals a follower forwards to the leader
	Member                   Cost // per second, in the member

	Change         Change // at the leader of three voters
	ChangeFollower Change
	ChangeAttached Cost // per change and attached member, at the control process
	ChangeMember   Change

	Restart         Cost // per restart, at the leader
	RestartAttached Cost // per restart and attached member, at the control process
	RestartMember   Cost // per restart, in each member that learns of it; CPU per member known, Bytes in total

	ViewBase, ViewMember float64 // bytes of a member's view: constant part, and part per member known
	TextMember           float64 // bytes of a large configuration in a member
	LeaderRSS            Line    // resident bytes of the leader by number of members
	TextControl          float64 // additional resident bytes of the leader with a large configuration
}

// SlopesOf fits lines through the samples. Each of the three control processes serves a third of the members;
// in Aside each follower serves half of them.
func SlopesOf(m *Measurement) Slopes {
	rate := func(phase func(Sample) Phase, use func(Phase) float64) Line {
		return fitOver(m.Sizes, func(s Sample) float64 { return phase(s).perSecond(use) })
	}
	event := func(samples []Sample, phase func(Sample) Phase, use func(Phase) float64) Line {
		return fitOver(samples, func(s Sample) float64 { return phase(s).perEvent(s.Idle, use) })
	}
	slope := func(cpu, bytes Line, times float64) Cost { return Cost{cpu.Slope * times, bytes.Slope * times} }
	base := func(cpu, bytes Line) Cost { return Cost{max(cpu.Intercept, 0), max(bytes.Intercept, 0)} }

	s := Slopes{}
	leaderC, leaderB := rate(followersOnlyPhase, leaderCPU), rate(followersOnlyPhase, leaderBytes)
	followC, followB := rate(followersOnlyPhase, followerCPU), rate(followersOnlyPhase, followerBytes)
	s.LeaderBase, s.FollowerBase = base(leaderC, leaderB), base(followC, followB)
	s.AtFollower = slope(followC, followB, voters-1)
	s.ForwardedRenewals = slope(leaderC, leaderB, 1)
	distributed := slope(rate(idlePhase, leaderCPU), rate(idlePhase, leaderBytes), voters)
	s.AtLeader = distributed.plus(s.ForwardedRenewals, -(voters - 1))
	s.Member = slope(rate(idlePhase, membersCPU), rate(idlePhase, membersBytes), 1)

	change := func(samples []Sample, cpu, bytes func(Phase) float64) Cost {
		return base(event(samples, changesPhase, cpu), event(samples, changesPhase, bytes))
	}
	s.Change = Change{change(m.Sizes, leaderCPU, leaderBytes), change(m.Texts, leaderCPU, leaderBytes)}
	s.ChangeFollower = Change{change(m.Sizes, followerCPU, followerBytes), change(m.Texts, followerCPU, followerBytes)}
	s.ChangeAttached = slope(event(m.Sizes, changesPhase, followerCPU), event(m.Sizes, changesPhase, followerBytes), voters)
	inMember := func(samples []Sample) Cost {
		return slope(event(samples, changesPhase, membersCPU), event(samples, changesPhase, membersBytes), 1)
	}
	s.ChangeMember = Change{inMember(m.Sizes), inMember(m.Texts)}
	s.Restart = base(event(m.Sizes, restartsPhase, leaderCPU), event(m.Sizes, restartsPhase, leaderBytes))
	s.RestartAttached = slope(event(m.Sizes, restartsPhase, followerCPU), event(m.Sizes, restartsPhase, followerBytes), voters)
	// Each restart makes a member copy its member list, so the time is proportional to its length.
	perKnownMember := fitOver(m.Sizes, func(s Sample) float64 { return s.Restarts.perEvent(s.Idle, membersCPU) / float64(s.Members) })
	s.RestartMember = Cost{perKnownMember.Slope, event(m.Sizes, restartsPhase, membersBytes).Slope}

	view := fitOver(m.Sizes, func(s Sample) float64 { return s.Heap / float64(s.Members) })
	s.ViewBase, s.ViewMember = max(view.Intercept, 0), view.Slope
	s.TextMember = fitOver(m.Texts, func(s Sample) float64 { return s.Heap }).Slope
	s.LeaderRSS = fitOver(m.Sizes, func(s Sample) float64 { return s.LeaderRSS })
	s.TextControl = max(0, m.Texts[0].LeaderRSS-s.LeaderRSS.At(0))
	return s
}

func idlePhase(s Sample) Phase          { return s.Idle }
func followersOnlyPhase(s Sample) Phase { return s.Aside }
func changesPhase(s Sample) Phase       { return s.Changes }
func restartsPhase(s Sample) Phase      { return s.Restarts }

func fitOver(samples []Sample, of func(Sample) float64) Line {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, float64(s.Members)), append(y, of(s))
	}
	return Fit(x, y)
}

// Row is the cost of one process of a role in a plan.
type Row struct {
	Plan, Role string
	Calls      float64 // calls per second, answered or made
	Cost
	Memory float64 // bytes
}

const (
	// idleAgentRSS is the resident memory of an idle agent of the demonstration, in bytes; see
	// MEASUREMENTS.md and scripts/idle.sh.
	idleAgentRSS = 12.7e6
	// gcHeapFactor is the maximum ratio of heap size to live heap between collections, at Go's default
	// GOGC=100.
	gcHeapFactor = 2
)

// followerCallsPerSecond are the calls that a follower makes to the leader.
const followerCallsPerSecond = 2

// Rows calculates the costs of leader, follower, relay and member in a plan.
func (s Slopes) Rows(p Plan) []Row {
	text := p.Customers / 25_000 // the cost of a change is proportional to the size of the configuration
	attached, renewed := p.Members/p.Voters, p.Members*(p.Voters-1)/p.Voters
	if p.Relays > 0 {
		attached, renewed = p.Relays/p.Voters, p.Members
	}
	perMember := s.ChangeAttached
	events := func(c Cost, n float64) Cost {
		return c.plus(perMember, p.Changes*n).plus(s.RestartAttached, p.Restarts*n)
	}

	leader := s.LeaderBase.plus(s.AtLeader, attached).plus(s.ForwardedRenewals, renewed)
	leader = events(leader, attached).plus(s.Change.atShare(text), p.Changes).plus(s.Restart, p.Restarts)
	// The leader writes what each additional follower reads. Half of a follower's bytes are writes to its own
	// log.
	more := Cost{Bytes: s.ChangeFollower.atShare(text).Bytes / 2}
	leader = leader.plus(more, p.Changes*(p.Voters-voters))
	follower := events(s.FollowerBase.plus(s.AtFollower, attached), attached).plus(s.ChangeFollower.atShare(text), p.Changes)
	learned := Cost{CPU: s.RestartMember.CPU * p.Members, Bytes: s.RestartMember.Bytes}
	member := s.Member.plus(s.ChangeMember.atShare(text), p.Changes).plus(learned, p.Restarts)

	control := s.LeaderRSS.At(p.Members) + s.TextControl*text
	senders := p.Voters - 1
	if p.Relays > 0 {
		senders = p.Relays
	}
	rows := []Row{
		{p.Name, "control, leader", attached + followerCallsPerSecond*senders, leader, control},
		{p.Name, "control, follower", attached + followerCallsPerSecond, follower, control},
	}
	if p.Relays > 0 {
		n := p.Members / p.Relays
		// A relay receives changes as deltas, like a member.
		relay := events(s.FollowerBase.plus(s.AtFollower, n), n).plus(s.ChangeMember.atShare(text), p.Changes).plus(learned, p.Restarts)
		rows = append(rows, Row{p.Name, "relay", n + followerCallsPerSecond, relay, control})
	}
	view := s.ViewBase + s.ViewMember*p.Members + s.TextMember*text
	return append(rows, Row{p.Name, "entry or agent, control only", 1, member, idleAgentRSS + gcHeapFactor*view})
}
