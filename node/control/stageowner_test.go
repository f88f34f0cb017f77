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

// leading is a leader whose commands are committed at once.
type leaderCluster struct {
	cluster   // nil: what is not overridden is not called
	machine   *state.Machine
	transfers int // how often the lead was to be handed over
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

// TestFirstOwnerIsNotTheLeader lets the leader join first, as the founder of a
// cluster does: it must not be named before the others had time to join, which
// they have when a text is accepted.
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
		t.Fatalf("%s is named although there is no stage yet", got)
	}
	l.mustPropose(t, state.Command{Join: []wire.Member{proxy("other")}, Put: &wire.PutRequest{Version: 1}})
	o.step(context.Background())
	if got := l.View().Owner.ID; got != "other" {
		t.Fatalf("%q is named, want the process that does not lead", got)
	}
}

// TestOwnerDoesNotLead elects the owner of the stages: it hands the lead over, once
// in a while as long as it leads, and the owner stays.
func TestOwnerDoesNotLead(t *testing.T) {
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
			t.Fatalf("handed over %d times, want %d; owner %s", l.transfers, want, l.View().Owner.ID)
		}
		clock.Advance(transferRetryInterval)
	}
}

// TestOwnerThatStartedAgainIsReplacedAtOnce starts all processes again. The leader hears of the new starts before
// the state holds them: it names none of the old ones, and a new one as soon as it has heard of it.
func TestOwnerThatStartedAgainIsReplacedAtOnce(t *testing.T) {
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
		t.Fatalf("%+v is named, of which nothing was heard", got)
	}
	lease.record([]Renewal{{Member: process("other", 2)}})
	o.step(t.Context())
	if got := l.View().Owner; got.ID != "other" || got.Incarnation != 2 {
		t.Fatalf("%+v is named, want the new start of other", got)
	}
	o.probe = newLivenessProbe(clock, "127.0.0.1:1", func() probeClient { return aliveClient{} })
	o.step(t.Context())
	if got := l.View().Owner; got.Epoch != 2 {
		t.Fatalf("%+v is named again", got)
	}
}

// alive is a process that answers.
type aliveClient struct{}

func (aliveClient) ping(context.Context) error { return nil }
func (aliveClient) Close()                     {}

// TestUnheardProcessIsNamedInTheEnd loses the owner, and no other process is heard of.
func TestUnheardProcessIsNamedInTheEnd(t *testing.T) {
	l, clock := &leaderCluster{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "leader"
	o := newOwnerAssigner(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock, leases: newLeases(l, clock, time.Second, nil)})
	l.mustPropose(t, state.Command{Join: []wire.Member{{ID: "other", Role: "proxy", Peer: "127.0.0.1:1", Incarnation: 1}}, Put: &wire.PutRequest{Version: 1}})
	o.leaderSince = clock.Now()
	o.step(t.Context())
	if got := l.View().Owner.ID; got != "" {
		t.Fatalf("%s is named at once", got)
	}
	clock.Advance(newLeaderGrace)
	o.step(t.Context())
	if got := l.View().Owner.ID; got != "other" {
		t.Fatalf("%q is named", got)
	}
}
