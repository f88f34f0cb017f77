package order_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/order"
	"caperdrum.org/node/state"
)

const startLimit = 5 * time.Second // age from which an order may no longer be started

const upstream = wire.MemberID("engine-1")

// simulation is an engine that ignores fencing tokens, its agent, and control leaders over one replicated
// log. Leaders decide on observations of any age; replies to polls are delayed, duplicated and lost; agents
// restart. Leaders without a quorum do not reply, as their read barrier fails.
type simulation struct {
	machine    *state.Machine
	dispatcher *order.Dispatcher
	polls      []*wire.OrderPoll
	replies    []exchange

	observations      []observation // on which some leader may still decide
	started           []uint64      // tokens in the order in which the engine got them
	running           uint64        // token of the order that the engine is executing; zero means none
	runningDispatcher *order.Dispatcher
}

type exchange struct {
	poll  *wire.OrderPoll
	reply wire.OrderPollReply
}

type observation struct{ fence uint64 }

func newSystem() *simulation {
	return &simulation{machine: state.New(), dispatcher: order.NewDispatcher(upstream)}
}

func (s *simulation) apply(t *rapid.T, c *state.OrderCommand) []state.IssueResult {
	data, err := state.Command{Orders: c}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	res, err := s.machine.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	return res.Orders
}

// drawAge draws how many of n messages to go back; mostly the newest is used.
func drawAge(t *rapid.T, n int) int {
	return min(n-1, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 5}).Draw(t, "back"))
}

func (s *simulation) observe(*rapid.T) {
	s.observations = append(s.observations, observation{s.machine.View().Fences[upstream]})
}

// decide lets a leader issue an order by an observation that may be old. The same decision may be replicated
// more than once.
func (s *simulation) decide(t *rapid.T) {
	if len(s.observations) == 0 {
		t.Skip("no observation")
	}
	p := s.observations[len(s.observations)-1-drawAge(t, len(s.observations))]
	open := s.machine.View().Orders[upstream].State == wire.OrderOpen
	now := s.machine.View().Fences[upstream]
	kind := rapid.SampledFrom([]wire.OrderKind{wire.OrderLoad, wire.OrderUnload}).Draw(t, "kind")
	res := s.apply(t, &state.OrderCommand{Epoch: 1, Issue: []state.OrderIssue{{After: p.fence, Order: wire.Order{Upstream: upstream, Kind: kind}}}})
	if res[0].Refused == "" && open {
		t.Fatal("an order was issued while another one was open")
	}
	if res[0].Refused == "" && p.fence != now {
		t.Fatalf("an order for fence %d was accepted at fence %d", p.fence, now)
	}
	if res[0].Refused == "" && res[0].Token <= now {
		t.Fatalf("token %d was issued at fence %d", res[0].Token, now)
	}
}

// endOpenOrder ends the open order without a report, as a leader does after its timeout.
func (s *simulation) endOpenOrder(t *rapid.T) {
	rec := s.machine.View().Orders[upstream]
	s.apply(t, &state.OrderCommand{Epoch: 1, End: []wire.OrderReport{{Upstream: upstream, Token: rec.Order.Token, State: wire.OrderFailed}}})
}

func (s *simulation) sendPoll(*rapid.T) {
	p := &wire.OrderPoll{}
	s.dispatcher.FillPoll(p)
	s.polls = append(s.polls, p)
}

// answer replies to a poll as a leader does after its read barrier: it replicates the reports and reads the
// latest state.
func (s *simulation) answer(t *rapid.T) {
	if len(s.polls) == 0 {
		t.Skip("no poll")
	}
	p := s.polls[len(s.polls)-1-drawAge(t, len(s.polls))]
	s.apply(t, &state.OrderCommand{Epoch: 1, End: p.Reports})
	v := s.machine.View()
	reply := wire.OrderPollReply{Fence: v.Fences[upstream]}
	if rec := v.Orders[upstream]; p.Established && rec.State == wire.OrderOpen && rec.Order.Token > p.Seen {
		reply.Order = &rec.Order
	}
	s.replies = append(s.replies, exchange{p, reply})
}

// deliver delivers a reply to the agent, possibly late and more than once.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.replies) == 0 {
		t.Skip("no reply")
	}
	x := s.replies[len(s.replies)-1-drawAge(t, len(s.replies))]
	late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 8}).Draw(t, "seconds")) * time.Second
	o := s.dispatcher.HandleReply(x.poll, &x.reply, late, s.running != 0)
	if o == nil {
		return
	}
	if late > startLimit {
		t.Fatalf("order %d was started %s after it was issued", o.Token, late)
	}
	if s.running != 0 {
		t.Fatalf("order %d was started while order %d was running", o.Token, s.running)
	}
	if n := len(s.started); n > 0 && o.Token <= s.started[n-1] {
		t.Fatalf("order %d was started after order %d", o.Token, s.started[n-1])
	}
	s.started = append(s.started, o.Token)
	s.running, s.runningDispatcher = o.Token, s.dispatcher
}

func (s *simulation) finish(t *rapid.T) {
	if s.running == 0 {
		t.Skip("the engine is idle")
	}
	s.runningDispatcher.Finish(s.running, wire.OrderDone, "")
	s.running = 0
}

// restart loses the agent's state and all replies in flight to it. The engine continues with its order.
func (s *simulation) restart(*rapid.T) {
	s.dispatcher, s.polls, s.replies = order.NewDispatcher(upstream), nil, nil
}

// TestOrdersNeverGoBackwards checks that an agent alone protects an engine that ignores fencing tokens.
func TestOrdersNeverGoBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem()
		t.Repeat(map[string]func(*rapid.T){
			"look": s.observe, "decide": s.decide, "give up": s.endOpenOrder, "ask": s.sendPoll, "answer": s.answer,
			"deliver": s.deliver, "finish": s.finish, "restart": s.restart,
			"": func(t *rapid.T) { s.observe(t); s.sendPoll(t) }, // gives the other actions something to act on
		})
	})
}

// TestOrdersArrive guards TestOrdersNeverGoBackwards against an agent that executes nothing: without faults
// every order must be executed and reported.
func TestOrdersArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem()
		rounds := rapid.IntRange(1, 20).Draw(t, "rounds")
		for range rounds {
			if rapid.Bool().Draw(t, "restart") {
				s.restart(t)
			}
			s.roundTrip(t) // learns the fence after a restart
			s.apply(t, &state.OrderCommand{Epoch: 1, Issue: []state.OrderIssue{{After: s.machine.View().Fences[upstream], Order: wire.Order{Upstream: upstream, Kind: wire.OrderLoad}}}})
			s.roundTrip(t)
			s.finish(t)
			s.roundTrip(t)
		}
		if len(s.started) != rounds {
			t.Fatalf("%d of %d orders were executed", len(s.started), rounds)
		}
		if st := s.machine.View().Orders[upstream].State; st != wire.OrderDone {
			t.Fatalf("state of the last order is %s, want done", st)
		}
	})
}

func (s *simulation) roundTrip(t *rapid.T) {
	s.polls, s.replies = nil, nil
	s.sendPoll(t)
	p := s.polls[0]
	s.apply(t, &state.OrderCommand{Epoch: 1, End: p.Reports})
	v := s.machine.View()
	reply := wire.OrderPollReply{Fence: v.Fences[upstream]}
	if rec := v.Orders[upstream]; p.Established && rec.State == wire.OrderOpen && rec.Order.Token > p.Seen {
		reply.Order = &rec.Order
	}
	if o := s.dispatcher.HandleReply(p, &reply, 0, s.running != 0); o != nil {
		s.started = append(s.started, o.Token)
		s.running, s.runningDispatcher = o.Token, s.dispatcher
	}
}
