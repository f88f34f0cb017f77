package control

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// leading is a leader whose commands are committed at once.
type leading struct {
	cluster // nil: what is not overridden is not called
	machine *state.Machine
	handed  int // how often the lead was to be handed over
}

func (l *leading) TransferLeadership(context.Context) error { l.handed++; return nil }

func (l *leading) View() *state.View { return l.machine.View() }
func (l *leading) IsLeader() bool    { return true }

func (l *leading) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	return l.machine.Apply(data)
}

func (l *leading) mustPropose(t *testing.T, c state.Command) {
	t.Helper()
	if _, err := l.Propose(context.Background(), c); err != nil {
		t.Fatal(err)
	}
}

// TestFirstOwnerIsNotTheLeader lets the leader join first, as the founder of a
// cluster does: it must not be named before the others had time to join, which
// they have when a text is accepted.
func TestFirstOwnerIsNotTheLeader(t *testing.T) {
	l := &leading{machine: state.New()}
	set := &settings.Settings{}
	set.Node.Name = "leader"
	o := newOwnership(&Service{cluster: l, set: set, log: logr.Discard(), clock: clockwork.NewFakeClock()})
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
	l, clock := &leading{machine: state.New()}, clockwork.NewFakeClock()
	set := &settings.Settings{}
	set.Node.Name = "owner"
	o := newOwnership(&Service{cluster: l, set: set, log: logr.Discard(), clock: clock})
	for _, id := range []wire.MemberID{"owner", "other"} {
		l.mustPropose(t, state.Command{Join: []wire.Member{{ID: id, Role: "proxy+control", Peer: "127.0.0.1:1", Incarnation: 1}}})
	}
	l.mustPropose(t, state.Command{Put: &wire.PutRequest{Version: 1}, Owner: &wire.StageOwner{ID: "owner", Incarnation: 1, Epoch: 1}})
	for want := 1; want < 4; want++ {
		o.step(context.Background())
		o.step(context.Background())
		if l.handed != want || l.View().Owner.ID != "owner" {
			t.Fatalf("handed over %d times, want %d; owner %s", l.handed, want, l.View().Owner.ID)
		}
		clock.Advance(apartInterval)
	}
}
