// Package order is the agent's side of the orders that the control leader issues to engines: it polls the
// leader for orders to the agent's upstream and executes them, each at most once, one at a time, and never
// one with an older token after one with a newer token.
package order

import (
	"time"

	"caperdrum.org/api/wire"
)

// maxOrderAge is how long after its issue an order may be started. It bounds how many loads, permitted at
// different times by the budget, can hit the weight store at the same time.
const maxOrderAge = 5 * time.Second

// Dispatcher decides which orders an agent executes. It does no I/O and is not safe for concurrent use.
type Dispatcher struct {
	upstream    wire.MemberID
	established bool
	seen        uint64 // highest token known for the upstream
	running     uint64
	reports     []wire.OrderReport // not yet acknowledged by a leader
}

// NewDispatcher returns the Dispatcher of an agent that has just started. It accepts no order until it has learned
// the fence.
func NewDispatcher(upstream wire.MemberID) *Dispatcher { return &Dispatcher{upstream: upstream} }

// FillPoll sets the poll's fields that the Dispatcher knows.
func (d *Dispatcher) FillPoll(p *wire.OrderPoll) {
	p.Upstream, p.Established, p.Seen, p.Running = d.upstream, d.established, d.seen, d.running
	p.Reports = append([]wire.OrderReport(nil), d.reports...)
}

// HandleReply processes the reply to poll p and returns the order to execute now, or nil. waited is the time since
// the poll was sent. engineBusy says that the engine is still executing an order, possibly one that it got
// before this agent restarted.
func (d *Dispatcher) HandleReply(p *wire.OrderPoll, r *wire.OrderPollReply, waited time.Duration, engineBusy bool) *wire.Order {
	d.dropConfirmed(p.Reports)
	if !d.established {
		// An order whose token equals the fence may have been executed before this agent restarted, so it is
		// never executed again.
		d.established, d.seen = true, max(d.seen, r.Fence)
		return nil
	}
	o := r.Order
	if o == nil {
		d.seen = max(d.seen, r.Fence)
		return nil
	}
	if o.Token <= d.seen || o.Upstream != d.upstream || d.running != 0 || engineBusy {
		return nil
	}
	d.seen = o.Token
	if r.Age+waited > maxOrderAge {
		d.addReport(o.Token, wire.OrderExpired, "")
		return nil
	}
	d.running = o.Token
	return o
}

// Finish records the outcome of the running order for the next poll. Other tokens are ignored.
func (d *Dispatcher) Finish(token uint64, state wire.OrderState, detail string) {
	if d.running != token {
		return
	}
	d.running = 0
	d.addReport(token, state, detail)
}

func (d *Dispatcher) addReport(token uint64, state wire.OrderState, detail string) {
	d.reports = append(d.reports, wire.OrderReport{Upstream: d.upstream, Token: token, State: state, Detail: detail})
}

// dropConfirmed removes the reports that a leader has replicated.
func (d *Dispatcher) dropConfirmed(sent []wire.OrderReport) {
	kept := d.reports[:0]
	for _, r := range d.reports {
		confirmed := false
		for _, s := range sent {
			confirmed = confirmed || s.Token == r.Token
		}
		if !confirmed {
			kept = append(kept, r)
		}
	}
	d.reports = kept
}
