package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
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
