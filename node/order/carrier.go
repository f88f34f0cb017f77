// Package order is the agent's part of the orders: it asks the control leader
// for orders to the upstream beside it and passes them on, each at most once,
// one at a time and never an older one after a newer one.
package order

import (
	"time"

	"caperdrum.org/api/wire"
)

// startWithin is how long after its issue an order may be passed on. It bounds
// by how much loads that were permitted apart can bunch up at the store.
const startWithin = 5 * time.Second

// Carrier decides which orders an agent passes on. It does no I/O.
type Carrier struct {
	upstream    wire.MemberID
	established bool
	seen        uint64 // highest token known for the upstream
	running     uint64
	reports     []wire.OrderReport // that no leader has confirmed yet
}

// NewCarrier returns the Carrier of an agent that has just started. It passes
// nothing on until it has learned the fence.
func NewCarrier(upstream wire.MemberID) *Carrier { return &Carrier{upstream: upstream} }

// Fill sets the Carrier's part of a poll.
func (c *Carrier) Fill(p *wire.OrderPoll) {
	p.Upstream, p.Established, p.Seen, p.Running = c.upstream, c.established, c.seen, c.running
	p.Reports = append([]wire.OrderReport(nil), c.reports...)
}

// Take reads the answer to poll p and returns the order to pass on now, or
// nil. Waited is the time since the poll was sent; engineBusy says that the
// engine still works on an order, which may be one of an earlier start of this
// agent.
func (c *Carrier) Take(p *wire.OrderPoll, r *wire.OrderPollReply, waited time.Duration, engineBusy bool) *wire.Order {
	c.confirm(p.Reports)
	if !c.established {
		// An order with the fence's own token may have been passed on by the
		// agent's earlier start, so it is never passed on by this one.
		c.established, c.seen = true, max(c.seen, r.Fence)
		return nil
	}
	o := r.Order
	if o == nil {
		c.seen = max(c.seen, r.Fence)
		return nil
	}
	if o.Token <= c.seen || o.Upstream != c.upstream || c.running != 0 || engineBusy {
		return nil
	}
	c.seen = o.Token
	if r.Age+waited > startWithin {
		c.report(o.Token, wire.OrderExpired, "")
		return nil
	}
	c.running = o.Token
	return o
}

// Finish ends the order that is under way.
func (c *Carrier) Finish(token uint64, state wire.OrderState, detail string) {
	if c.running != token {
		return
	}
	c.running = 0
	c.report(token, state, detail)
}

func (c *Carrier) report(token uint64, state wire.OrderState, detail string) {
	c.reports = append(c.reports, wire.OrderReport{Upstream: c.upstream, Token: token, State: state, Detail: detail})
}

// confirm forgets the reports that a leader has replicated.
func (c *Carrier) confirm(sent []wire.OrderReport) {
	kept := c.reports[:0]
	for _, r := range c.reports {
		known := false
		for _, s := range sent {
			known = known || s.Token == r.Token
		}
		if !known {
			kept = append(kept, r)
		}
	}
	c.reports = kept
}
