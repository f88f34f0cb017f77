package control

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// recordingCluster is a cluster with one voter. It records the sizes of proposed commands, and calls before
// ahead of applying each.
type recordingCluster struct {
	cluster // nil: methods that are not overridden must not be called
	t       *testing.T
	machine *state.Machine
	view    atomic.Pointer[state.View] // the machine's view, for other goroutines
	sizes   []int
	before  func()
}

func (p *recordingCluster) IsLeader() bool    { return true }
func (p *recordingCluster) View() *state.View { return p.view.Load() }
func (p *recordingCluster) Status() consensus.Status {
	return consensus.Status{Membership: consensus.Membership{Voters: []consensus.Peer{{ID: "c"}}}}
}

func (p *recordingCluster) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		p.t.Error(err)
	}
	p.sizes = append(p.sizes, len(data))
	if p.before != nil {
		p.before()
	}
	defer p.publish()
	return p.machine.Apply(data)
}

func (p *recordingCluster) publish() { p.view.Store(p.machine.View()) }

func newRecordingCluster(t *testing.T) (*Service, *recordingCluster) {
	p := &recordingCluster{t: t, machine: state.New()}
	p.publish()
	return &Service{cluster: p, clock: clockwork.NewFakeClock(), log: logr.Discard(), set: &settings.Settings{}}, p
}

func mustPut(t *testing.T, s *Service, version uint64, text string) *wire.PutResult {
	t.Helper()
	res, err := s.putConfig(context.Background(), &wire.PutRequest{Version: version, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// TestChangeOfOneRouteIsAShortCommand changes one route of many. The command must be about as large as the
// change, and an older version must not be proposed.
func TestChangeOfOneRouteIsAShortCommand(t *testing.T) {
	s, p := newRecordingCluster(t)
	text := routes(1000)
	mustPut(t, s, 5, text)
	next := strings.Replace(text, "goal = 1.2s", "goal = 1.3s", 1)
	if res := mustPut(t, s, 9, next); !res.Applied || p.View().Config.Text != next {
		t.Fatalf("result %+v, %d bytes in force", res, len(p.View().Config.Text))
	}
	if got := p.sizes[len(p.sizes)-1]; got > 1024 {
		t.Fatalf("a command of %d bytes", got)
	}
	if res := mustPut(t, s, 7, text); res.Applied || res.Version != 9 || len(p.sizes) != 2 {
		t.Fatalf("an older version: %+v, %d commands", res, len(p.sizes))
	}
}

// TestDeltaIsRecomputedAfterAConcurrentChange commits another change between the computation of a delta and its
// proposal. The delta must be computed again.
func TestDeltaIsRecomputedAfterAConcurrentChange(t *testing.T) {
	s, p := newRecordingCluster(t)
	text := routes(100)
	mustPut(t, s, 1, text)
	p.before = func() {
		p.before = nil
		data, err := state.Command{Put: &wire.PutRequest{Version: 2, Text: routes(101)}}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.machine.Apply(data); err != nil {
			t.Fatal(err)
		}
		p.publish()
	}
	next := strings.Replace(text, "goal = 1.2s", "goal = 1.3s", 1)
	if res := mustPut(t, s, 3, next); !res.Applied || p.View().Config.Version != 3 || p.View().Config.Text != next {
		t.Fatalf("result %+v, version %d in force", res, p.View().Config.Version)
	}
}

// TestResendJoinsTheChangeInProgress sends a change again while it is in progress, after its first sender has
// disconnected. It must be proposed once, and all waiting senders must get the result.
func TestResendJoinsTheChangeInProgress(t *testing.T) {
	synctest.Test(t, resendJoins)
}

func resendJoins(t *testing.T) {
	s, p := newRecordingCluster(t)
	proposing, goOn := make(chan struct{}), make(chan struct{})
	p.before = func() { close(proposing); <-goOn }
	req := &wire.PutRequest{Version: 1, Text: routes(10)}
	ctx, leave := context.WithCancel(context.Background())
	first, again := make(chan error, 1), make(chan error, 1)
	put := func(ctx context.Context, done chan error) {
		_, err := s.putConfig(ctx, req)
		done <- err
	}
	go put(ctx, first)
	<-proposing
	leave()
	if err := <-first; err == nil {
		t.Fatal("the sender disconnected, and its call succeeded")
	}
	u, begins := s.puts.join(req)
	if begins {
		t.Fatal("a resend starts the change again")
	}
	go put(context.Background(), again)
	synctest.Wait() // until it waits for the change; otherwise it could start another one after it
	close(goOn)
	if err := <-again; err != nil {
		t.Fatal(err)
	}
	<-u.done
	if u.err != nil || !u.result.Applied || len(p.sizes) != 1 {
		t.Fatalf("%+v, %v after %d commands", u.result, u.err, len(p.sizes))
	}
}
