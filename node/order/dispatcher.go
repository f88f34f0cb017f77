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
const maxOrderAge = 5 * time.Second

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
func (d *Carrier) Fill(p *wire.OrderPoll) {
	p.Upstream, p.Established, p.Seen, p.Running = d.upstream, d.established, d.seen, d.running
	p.Reports = append([]wire.OrderReport(nil), d.reports...)
}

// Take reads the answer to poll p and returns the order to pass on now, or
// nil. Waited is the time since the poll was sent; engineBusy says that the
// engine still works on an order, which may be one of an earlier start of this
// agent.
func (d *Carrier) Take(p *wire.OrderPoll, r *wire.OrderPollReply, waited time.Duration, engineBusy bool) *wire.Order {
	d.dropConfirmed(p.Reports)
	if !d.established {
		// An order with the fence's own token may have been passed on by the
		// agent's earlier start, so it is never passed on by this one.
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

// Finish ends the order that is under way.
func (d *Carrier) Finish(token uint64, state wire.OrderState, detail string) {
	if d.running != token {
		return
	}
	d.running = 0
	d.addReport(token, state, detail)
}

func (d *Carrier) addReport(token uint64, state wire.OrderState, detail string) {
	d.reports = append(d.reports, wire.OrderReport{Upstream: d.upstream, Token: token, State: state, Detail: detail})
}

// confirm forgets the reports that a leader has replicated.
func (d *Carrier) dropConfirmed(sent []wire.OrderReport) {
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
