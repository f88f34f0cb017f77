package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// leaderCluster is a leader whose commands are committed immediately.
type leaderCluster struct {
	cluster   // nil: methods that are not overridden must not be called
	machine   *state.Machine
	transfers int // number of leadership transfers requested
}

func (l *leaderCluster) TransferLeadership(context.Context) error { l.transfers++; return nil }

func (l *leaderCluster) View() *state.View { return l.machine.View() }
func (l *leaderCluster) IsLeader() bool    { return true }

func (l *leaderCluster) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	return l.machine.Apply(data)
}

func (l *leaderCluster) mustPropose(t *testing.T, c state.Command) {
	t.Helper()
	if _, err := l.Propose(context.Background(), c); err != nil {
		t.Fatal(err)
	}
}

// TestFirstOwnerIsNotTheLeader lets the leader join first, as the founder of a cluster does. It must not be
// assigned before the others had time to join, which is when a configuration is accepted.
func TestFirstOwnerIsNotTheLeader(t *testing.T) {
	l := &leaderCluster{machine: state.New()}
	set := &settings.Settings{}
	set.Node.Name = "leader"
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clockwork.NewFakeClock(), leases: &leases{}})
	proxy := func(id wire.MemberID) wire.Member {
		return wire.Member{ID: id, Role: "proxy+control", Peer: "127.0.0.1:1", Incarnation: 1}
	}
	l.mustPropose(t, state.Command{Join: []wire.Member{proxy("leader")}})
	o.step(context.Background())
	if got := l.View().Owner.ID; got != "" {
		t.Fatalf("%s is assigned although there is no stage yet", got)
	}
	l.mustPropose(t, state.Command{Join: []wire.Member{proxy("other")}, Put: &wire.PutRequest{Version: 1}})
	o.step(context.Background())
	if got := l.View().Owner.ID; got != "other" {
		t.Fatalf("%q is assigned, want the process that is not the leader", got)
	}
}

// TestOwnerTransfersLeadership makes the stage owner the leader. It must try to transfer leadership periodically
// until it succeeds, and must stay the owner.
func TestOwnerTransfersLeadership(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "owner"
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: &leases{}})
	for _, id := range []wire.MemberID{"owner", "other"} {
		l.mustPropose(t, state.Command{Join: []wire.Member{{ID: id, Role: "proxy+control", Peer: "127.0.0.1:1", Incarnation: 1}}})
	}
	l.mustPropose(t, state.Command{Put: &wire.PutRequest{Version: 1}, Owner: &wire.StageOwner{ID: "owner", Incarnation: 1, Epoch: 1}})
	for want := 1; want < 4; want++ {
		o.step(context.Background())
		o.step(context.Background())
		if l.transfers != want || l.View().Owner.ID != "owner" {
			t.Fatalf("%d transfers, want %d; owner %s", l.transfers, want, l.View().Owner.ID)
		}
		clock.Advance(transferRetryInterval)
	}
}

// TestRestartedOwnerIsReplacedAtOnce restarts all processes. The leader gets renewals of the new
// starts before the member list contains them. It must not assign an earlier incarnation, and must assign a new one
// as soon as that has renewed its lease.
func TestRestartedOwnerIsReplacedAtOnce(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "leader"
	lease := newLeases(l, clock, time.Second, nil)
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: lease})
	process := func(id wire.MemberID, incarnation uint64) wire.Member {
		return wire.Member{ID: id, Role: "proxy+control", Peer: "127.0.0.1:1", Incarnation: incarnation}
	}
	for _, id := range []wire.MemberID{"leader", "owner", "other", "third"} {
		l.mustPropose(t, state.Command{Join: []wire.Member{process(id, 1)}})
	}
	l.mustPropose(t, state.Command{Put: &wire.PutRequest{Version: 1}, Owner: &wire.StageOwner{ID: "owner", Incarnation: 1, Epoch: 1}})
	lease.grantFullLeases(clock.Now())
	o.leaderSince = clock.Now()

	lease.record([]Renewal{{Member: process("owner", 2)}})
	o.step(t.Context())
	if got := l.View().Owner; got.Epoch != 1 {
		t.Fatalf("%+v is assigned without a renewal", got)
	}
	lease.record([]Renewal{{Member: process("other", 2)}})
	o.step(t.Context())
	if got := l.View().Owner; got.ID != "other" || got.Incarnation != 2 {
		t.Fatalf("%+v is assigned, want the new start of other", got)
	}
	o.probe = newLivenessProbe(clock, "127.0.0.1:1", func() probeClient { return aliveClient{} })
	o.step(t.Context())
	if got := l.View().Owner; got.Epoch != 2 {
		t.Fatalf("%+v is assigned again", got)
	}
}

// aliveClient is a process that answers all probes.
type aliveClient struct{}

func (aliveClient) ping(context.Context) error { return nil }
func (aliveClient) Close()                     {}

// TestSilentProcessEventuallyBecomesOwner loses the owner, and no other process renews its lease.
func TestSilentProcessEventuallyBecomesOwner(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "leader"
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: newLeases(l, clock, time.Second, nil)})
	l.mustPropose(t, state.Command{Join: []wire.Member{{ID: "other", Role: "proxy", Peer: "127.0.0.1:1", Incarnation: 1}}, Put: &wire.PutRequest{Version: 1}})
	o.leaderSince = clock.Now()
	o.step(t.Context())
	if got := l.View().Owner.ID; got != "" {
		t.Fatalf("%s is assigned immediately", got)
	}
	clock.Advance(newLeaderGrace)
	o.step(t.Context())
	if got := l.View().Owner.ID; got != "other" {
		t.Fatalf("%q is assigned", got)
	}
}

// TestOwnerOutsideControlOutlivesControl restarts all control processes while the owner, which has no control role,
// runs on. The new leader must keep the owner: before any renewal, after the time in which it waits for renewals, and once the
// control processes have joined again. Then the owner fails: the next one must again be outside control.
func TestOwnerOutsideControlOutlivesControl(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "c0"
	assigner := func() (*ownerAssigner, *leases) {
		lease := newLeases(l, clock, time.Second, nil)
		o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: lease})
		o.leaderSince = clock.Now()
		lease.grantFullLeases(clock.Now())
		return o, lease
	}
	controls := func(incarnation uint64) []wire.Member {
		var out []wire.Member
		for _, id := range []wire.MemberID{"c0", "c1", "c2"} {
			m := candidate(id, both, 512)
			m.Incarnation = incarnation
			out = append(out, m)
		}
		return out
	}
	outside := []wire.Member{candidate("e0", "proxy", 352), candidate("e1", "proxy", 352), candidate("small", "proxy", 109)}
	l.mustPropose(t, state.Command{Join: append(controls(1), outside...), Put: &wire.PutRequest{Version: 1}})
	o, _ := assigner()
	clock.Advance(newLeaderGrace)
	o.step(t.Context())
	owner := l.View().Owner
	if owner.ID != "e0" && owner.ID != "e1" {
		t.Fatalf("%+v is assigned, want e0 or e1", owner)
	}

	o, lease := assigner() // the leader after the restart
	expectKept := func(when string) {
		t.Helper()
		o.probe = newLivenessProbe(clock, "127.0.0.1:1", func() probeClient { return aliveClient{} })
		o.step(t.Context())
		if got := l.View().Owner; got != owner {
			t.Fatalf("%s: %+v is assigned in place of %+v", when, got, owner)
		}
	}
	expectKept("before any renewal")
	clock.Advance(newLeaderGrace)
	expectKept("after the wait for renewals")
	for _, m := range controls(2) {
		lease.record([]Renewal{{Member: m}})
	}
	l.mustPropose(t, state.Command{Join: controls(2)})
	expectKept("after the control processes have joined again")
	for _, m := range outside {
		lease.record([]Renewal{{Member: m}})
	}
	expectKept("after all renewals")

	lost := owner.ID
	l.mustPropose(t, state.Command{Remove: []state.Removal{{ID: lost, Incarnation: 1}}})
	o.step(t.Context())
	if got := l.View().Owner; got.ID == lost || got.ID != "e0" && got.ID != "e1" || got.Epoch != owner.Epoch+1 {
		t.Fatalf("%+v is assigned after the loss of %s, want the other one outside control", got, lost)
	}
}

// TestBetterProcessDoesNotTakeOver guards against moving a running owner: a move costs the jobs under way.
func TestBetterProcessDoesNotTakeOver(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "c0"
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: newLeases(l, clock, time.Second, nil)})
	o.probe = newLivenessProbe(clock, "127.0.0.1:1", func() probeClient { return aliveClient{} })
	l.mustPropose(t, state.Command{Join: []wire.Member{candidate("c0", both, 512), candidate("c1", both, 512)},
		Put: &wire.PutRequest{Version: 1}, Owner: &wire.StageOwner{ID: "c1", Incarnation: 1, Peer: "127.0.0.1:1", Epoch: 1}})
	l.mustPropose(t, state.Command{Join: []wire.Member{candidate("e", "proxy", 512)}})
	o.step(t.Context())
	if got := l.View().Owner; got.ID != "c1" || got.Epoch != 1 {
		t.Fatalf("%+v is assigned", got)
	}
}

// TestAssignmentIsLogged guards against a log line that does not say what the owner was chosen by.
func TestAssignmentIsLogged(t *testing.T) {
	l := &leaderCluster{machine: state.New()}
	set := &settings.Settings{}
	set.Node.Name = "c0"
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: log, clock: clockwork.NewFakeClock(), leases: &leases{}})
	l.mustPropose(t, state.Command{Join: []wire.Member{candidate("c0", both, 512), candidate("e", "proxy", 352)}, Put: &wire.PutRequest{Version: 1}})
	o.step(t.Context())
	l.mustPropose(t, state.Command{Remove: []state.Removal{{ID: "e", Incarnation: 1}}})
	o.step(t.Context())
	want := []string{`"owner"="e" "epoch"=1 "millicores"=352 "with_control"=false`, `"owner"="c0" "epoch"=2 "millicores"=512 "with_control"=true`}
	if len(lines) != 2 || !strings.Contains(lines[0], want[0]) || !strings.Contains(lines[1], want[1]) {
		t.Fatalf("logged %q, want %q", lines, want)
	}
}

// TestSharesOfRenewalsCount guards against an owner on a VM that is too small after an upgrade: the shares of processes that
// joined while the leader was of the previous version are not in the member list, and the share of a small VM would
// be the largest. Renewals forwarded by a process of the previous version have no share; then the one in the list counts.
func TestSharesOfRenewalsCount(t *testing.T) {
	for _, c := range []struct {
		name             string
		listed, renewed  int // share of the process outside control
		incarnation      uint64
		control, renewal int // shares of the control process that is not the leader
		want             wire.MemberID
	}{
		{"the control process's share only in its renewal", 144, 144, 1, 0, 512, "c"},
		{"a sufficient share only in the renewal", 0, 352, 1, 512, 512, "e"},
		{"a sufficient share only in the list", 352, 0, 1, 512, 512, "e"},
		{"started again with a smaller share", 352, 144, 2, 512, 512, "c"},
		{"started again with an unknown share", 352, 0, 2, 512, 512, "c"},
		{"in no place", 0, 0, 1, 0, 0, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
			set := &settings.Settings{}
			set.Node.Name = "lead"
			lease := newLeases(l, clock, time.Second, nil)
			o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: lease})
			l.mustPropose(t, state.Command{Put: &wire.PutRequest{Version: 1},
				Join: []wire.Member{candidate("lead", both, c.control), candidate("c", both, c.control), candidate("e", "proxy", c.listed)}})
			lease.grantFullLeases(clock.Now())
			e := candidate("e", "proxy", c.renewed)
			e.Incarnation = c.incarnation
			lease.record([]Renewal{{Member: candidate("c", both, c.renewal)}, {Member: e}})
			o.step(t.Context())
			if got := l.View().Owner.ID; got != c.want {
				t.Fatalf("%q is assigned, want %q", got, c.want)
			}
		})
	}
}
