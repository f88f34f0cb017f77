package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// hintCluster is a cluster whose fencing tokens and term the test sets.
type hintCluster struct {
	cluster // nil: methods that are not overridden must not be called
	machine *state.Machine
	view    atomic.Pointer[state.View]
	term    atomic.Uint64
	outage  atomic.Bool
}

func (h *hintCluster) View() *state.View        { return h.view.Load() }
func (h *hintCluster) Status() consensus.Status { return consensus.Status{Term: h.term.Load()} }
func (h *hintCluster) StampAge() time.Duration  { return 0 }
func (h *hintCluster) IsLeader() bool           { return false }
func (h *hintCluster) Outage() error {
	if h.outage.Load() {
		return syscall.ENOSPC
	}
	return nil
}
func (h *hintCluster) Leader() consensus.Peer { return consensus.Peer{} }

func (h *hintCluster) drawToken(t *testing.T, id wire.MemberID) {
	data, err := state.Command{Fences: []wire.MemberID{id}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.machine.Apply(data); err != nil {
		t.Fatal(err)
	}
	h.view.Store(h.machine.View())
}

// TestHintEndsLongPoll checks that a long poll returns immediately, without advancing the clock, when a fencing
// token is issued to the caller or the term changes, but not when one is issued to another process.
func TestHintEndsLongPoll(t *testing.T) {
	h := &hintCluster{machine: state.New()}
	h.view.Store(h.machine.View())
	h.term.Store(1)
	clock := clockwork.NewFakeClock()
	s := &Service{cluster: h, clock: clock, notifier: newChangeNotifier(h)}
	s.follower = &follower{cluster: h, clock: clock, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{}}
	held := configsync.NewHolder(wire.Member{ID: "a"})
	answers := make(chan *wire.SyncReply, 1)
	ask := func() {
		req := held.Request(time.Second)
		go func() {
			reply, err := s.sync(context.Background(), &req)
			if err != nil {
				t.Error(err)
			}
			answers <- reply
		}()
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	}
	take := func(fence, term uint64) {
		t.Helper()
		s.notifier.check()
		if !held.MergeHint(<-answers) || held.Hint() != (configsync.Hint{Fence: fence, Term: term}) {
			t.Fatalf("hint %+v", held.Hint())
		}
	}
	held.MergeHint(&wire.SyncReply{Term: 1})
	ask()
	h.drawToken(t, "b")
	s.notifier.check() // irrelevant to the caller: the call keeps waiting
	h.drawToken(t, "a")
	take(2, 1)
	ask()
	h.term.Store(2)
	take(2, 2)
	if held.MergeHint(&wire.SyncReply{Fence: 1, Term: 1}) {
		t.Fatal("a hint decreased")
	}
	ask()
	select {
	case r := <-answers:
		t.Fatalf("a reply without updates: %+v", r)
	default:
	}
	clock.Advance(time.Second)
	<-answers
}

// TestOutageEndsLongPoll lets the disk of a control process fail during a long poll. That call, and the next one,
// must be redirected immediately, without advancing the clock.
func TestOutageEndsLongPoll(t *testing.T) {
	h := &hintCluster{machine: state.New()}
	h.view.Store(h.machine.View())
	clock := clockwork.NewFakeClock()
	s := &Service{cluster: h, clock: clock, notifier: newChangeNotifier(h)}
	s.follower = &follower{cluster: h, clock: clock, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{}}
	held := configsync.NewHolder(wire.Member{ID: "a"})
	req := held.Request(time.Second)
	answers := make(chan error, 1)
	go func() {
		_, err := s.sync(context.Background(), &req)
		answers <- err
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	h.outage.Store(true)
	s.notifier.check()
	if err := <-answers; verdict.Of(err) != verdict.NotRun {
		t.Fatalf("%v", err)
	}
	if _, err := s.sync(context.Background(), &req); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("%v", err)
	}
}

// unconfirmedCluster is a restarted control process: it has restored its log, which no quorum has confirmed
// yet.
type unconfirmedCluster struct {
	*hintCluster
	age atomic.Int64
}

func (u *unconfirmedCluster) StampAge() time.Duration { return time.Duration(u.age.Load()) }

// TestFirstViewWaitsForAConfirmation lets processes without a view call sync repeatedly before a quorum has
// confirmed the state. No reply may contain state that they cannot use, and all waiting calls must get it
// with the first confirmation. A call that does not wait is answered immediately, since its caller needs the
// voters' addresses.
func TestFirstViewWaitsForAConfirmation(t *testing.T) {
	u := &unconfirmedCluster{hintCluster: &hintCluster{machine: state.New()}}
	u.age.Store(-1)
	data, err := state.Command{Join: fleetRecords(100), Put: &wire.PutRequest{Version: 1, Text: "[customer:foundry]\n"}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := u.machine.Apply(data); err != nil {
		t.Fatal(err)
	}
	u.view.Store(u.machine.View())
	clock := clockwork.NewFakeClock()
	s := &Service{cluster: u, clock: clock, notifier: newChangeNotifier(u)}
	s.follower = &follower{cluster: u, clock: clock, wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{}}
	const processes = 360
	replies := make(chan *wire.SyncReply, processes)
	const patience = 250 * time.Millisecond
	ask := func(wait time.Duration) {
		for i := range processes {
			req := configsync.NewHolder(wire.Member{ID: wire.MemberID(fmt.Sprint("p", i))}).Request(wait)
			go func() {
				reply, err := s.sync(context.Background(), &req)
				if err != nil {
					t.Error(err)
				}
				replies <- reply
			}()
		}
		if wait == 0 {
			return
		}
		if err := clock.BlockUntilContext(t.Context(), processes); err != nil {
			t.Fatal(err)
		}
	}
	for _, wait := range []time.Duration{0, patience} {
		ask(wait)
		clock.Advance(wait)
		for range processes {
			if r := <-replies; r.Config != nil || r.Members != nil {
				t.Fatal("a reply contains unconfirmed state")
			}
		}
	}
	ask(patience)
	u.age.Store(0)
	s.notifier.check() // without advancing the clock
	for range processes {
		if r := <-replies; r.Config == nil || r.Members == nil || len(r.Members.Changed) != 100 {
			t.Fatalf("the reply after the confirmation is %+v", r)
		}
	}
}

func fleetRecords(n int) []wire.Member {
	var out []wire.Member
	for i := range n {
		out = append(out, wire.AnnouncedUpstream(wire.MemberID(fmt.Sprint("i-", i)), "llm", "10.0.0.1:80", "north", false))
	}
	return out
}
