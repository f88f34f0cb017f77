package state

import (
	"maps"

	"caperdrum.org/api/wire"
)

// OrderCommand ends and issues orders and updates the forecast. Each part succeeds or fails on its own.
type OrderCommand struct {
	Epoch    uint64             `cbor:"1,keyasint"`           // leader's term
	Elapsed  int64              `cbor:"2,keyasint"`           // milliseconds on the leader's monotonic clock since a fixed point in its term
	Rate     int64              `cbor:"3,keyasint,omitempty"` // weight store bandwidth, bytes per second; 0 means no limit
	Burst    int64              `cbor:"4,keyasint,omitempty"` // weight store burst, bytes
	End      []wire.OrderReport `cbor:"5,keyasint,omitempty"`
	Issue    []OrderIssue       `cbor:"6,keyasint,omitempty"`
	Forecast []ForecastSlot     `cbor:"7,keyasint,omitempty"`
}

// OrderIssue requests a fencing token and opens an order. It is refused if After is not the upstream's
// highest token (the decision was based on outdated state), if the upstream has an open order, or if the
// budget has too few bytes left.
type OrderIssue struct {
	After uint64     `cbor:"1,keyasint"`
	Order wire.Order `cbor:"2,keyasint"` // without a token
}

// Refusal says why an order was not issued; it is empty if it was issued.
type Refusal string

// Reasons for not issuing an order. They are keys of the metric orders_refused.
const (
	RefusedStale  Refusal = "a newer token was drawn"
	RefusedOpen   Refusal = "an order is open"
	RefusedBudget Refusal = "the weight store's budget lacks the bytes"
)

// IssueResult is the result of an OrderIssue.
type IssueResult struct {
	Token   uint64
	Refused Refusal
}

// OrderRecord holds the last order of an upstream.
type OrderRecord struct {
	Order  wire.Order      `cbor:"1,keyasint"`
	State  wire.OrderState `cbor:"2,keyasint"`
	Detail string          `cbor:"3,keyasint,omitempty"`
	Issued int64           `cbor:"4,keyasint"` // leader's clock, milliseconds since the Unix epoch
}

// ForecastSlot replaces one slot of a service's forecast.
type ForecastSlot struct {
	Service string `cbor:"1,keyasint"`
	Slot    int    `cbor:"2,keyasint"`
	Peak    uint32 `cbor:"3,keyasint"` // attempts in flight or waiting, in thousandths
}

// ForecastSlots is the number of forecast slots per day.
const ForecastSlots = 96

// bucket is the weight store's token bucket. Only time that one leader measured between two of its commands
// refills it, so neither a skewed clock nor a change of leader can add bytes.
type bucket struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Elapsed int64  `cbor:"2,keyasint"`
	Level   int64  `cbor:"3,keyasint"` // thousandths of a byte
}

const bucketScale = 1000

func (b *bucket) refill(c *OrderCommand) {
	full := c.Burst * bucketScale
	switch {
	case b.Epoch == 0:
		b.Level = full
	case b.Epoch == c.Epoch && c.Elapsed > b.Elapsed:
		// Divide instead of multiplying, since the product may overflow.
		if c.Rate > 0 && c.Elapsed-b.Elapsed > (full-b.Level)/c.Rate {
			b.Level = full
		} else {
			b.Level += (c.Elapsed - b.Elapsed) * c.Rate
		}
	case b.Epoch == c.Epoch:
		return // commands of one leader that were committed out of order
	}
	b.Epoch, b.Elapsed = c.Epoch, c.Elapsed
	b.Level = min(b.Level, full)
}

func (b *bucket) take(c *OrderCommand, bytes int64) bool {
	if c.Rate <= 0 || bytes <= 0 {
		return true
	}
	if b.Level < bytes*bucketScale {
		return false
	}
	b.Level -= bytes * bucketScale
	return true
}

func (m *Machine) applyOrders(c *OrderCommand) []IssueResult {
	if c.Rate > 0 {
		m.s.Bucket.refill(c)
	}
	if len(c.End)+len(c.Issue) > 0 {
		m.s.Orders = cloneOrEmpty(m.s.Orders) // views share the old map
	}
	for _, report := range c.End {
		m.endOrder(report)
	}
	var out []IssueResult
	budgetExhausted := false // later, less urgent loads must not overtake one that was refused
	for _, issue := range c.Issue {
		if budgetExhausted && issue.Order.Bytes > 0 {
			out = append(out, IssueResult{Refused: RefusedBudget})
			continue
		}
		r := m.issueOrder(c, issue)
		budgetExhausted = budgetExhausted || r.Refused == RefusedBudget
		out = append(out, r)
	}
	m.applyForecast(c.Forecast)
	return out
}

func cloneOrEmpty[K comparable, V any](old map[K]V) map[K]V {
	if old == nil {
		return map[K]V{}
	}
	return maps.Clone(old)
}

func (m *Machine) endOrder(r wire.OrderReport) {
	rec, ok := m.s.Orders[r.Upstream]
	if !ok || rec.State != wire.OrderOpen || rec.Order.Token != r.Token || r.State == wire.OrderOpen {
		return
	}
	rec.State, rec.Detail = r.State, r.Detail
	m.s.Orders[r.Upstream] = rec
}

func (m *Machine) issueOrder(c *OrderCommand, i OrderIssue) IssueResult {
	id := i.Order.Upstream
	switch {
	case m.s.Orders[id].State == wire.OrderOpen:
		return IssueResult{Refused: RefusedOpen}
	case m.s.Fences[id] != i.After:
		return IssueResult{Refused: RefusedStale}
	case !m.s.Bucket.take(c, i.Order.Bytes):
		return IssueResult{Refused: RefusedBudget}
	}
	order := i.Order
	order.Token = m.issueToken(id)
	m.s.Orders[id] = OrderRecord{Order: order, State: wire.OrderOpen, Issued: m.s.Now}
	return IssueResult{Token: order.Token}
}

func (m *Machine) applyForecast(slots []ForecastSlot) {
	if len(slots) == 0 {
		return
	}
	m.s.Forecast = cloneOrEmpty(m.s.Forecast)
	for _, s := range slots {
		if s.Slot < 0 || s.Slot >= ForecastSlots {
			continue
		}
		day := make([]uint32, ForecastSlots)
		copy(day, m.s.Forecast[s.Service])
		day[s.Slot] = s.Peak
		m.s.Forecast[s.Service] = day
	}
}
