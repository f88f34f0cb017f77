package admission

import (
	"testing"
	"time"

	"caperdrum.org/api/optext"
)

// overloadModel simulates a service whose gates accept a fixed number of attempts per period and refuse the
// rest at once. It has a clock of its own.
type overloadModel struct {
	shed     *shedder
	now      time.Time
	capacity int
	offered  map[string]int // requests by caller name, as are taken and sent
	taken    map[string]int // accepted by the gates
	sent     map[string]int
	refused  int
}

type caller struct {
	name  string
	share float64
	work  Work
	rate  int // requests per period
}

func (m *overloadModel) run(periods int, callers []caller) {
	m.offered, m.taken, m.sent, m.refused = map[string]int{}, map[string]int{}, map[string]int{}, 0
	for range periods {
		left := m.capacity
		for i := range 1000 { // interleave the callers
			for _, c := range callers {
				if i%max(1000/max(c.rate, 1), 1) != 0 || i >= c.rate*max(1000/max(c.rate, 1), 1) || c.rate == 0 {
					continue
				}
				m.request(c, &left)
			}
		}
		m.now = m.now.Add(period)
	}
}

func (m *overloadModel) request(c caller, left *int) {
	m.offered[c.name]++
	if m.shed.admit(&optext.Customer{Name: c.name[:1], Share: c.share}, c.work, m.now) != "" {
		return
	}
	m.sent[c.name]++
	m.shed.report("llm", false, m.now)
	if *left == 0 {
		m.refused++
		m.shed.report("llm", true, m.now)
		return
	}
	*left--
	m.taken[c.name]++
}

func (m *overloadModel) shedRatio(name string) float64 {
	return 1 - float64(m.sent[name])/float64(m.offered[name])
}

func newOverloadModel(capacity int) *overloadModel {
	return &overloadModel{shed: newShedder(), now: time.Unix(1_700_000_000, 0), capacity: capacity}
}

func workOf(class optext.Class, order int) Work {
	p := &optext.Pipeline{Class: string(class), ShedOrder: order, Stages: []*optext.Stage{{Service: "llm"}, {Service: "llm"}}}
	return PipelineWork(p, map[string]*optext.Service{"llm": {Name: "llm", Shed: true}})
}

// TestBrownoutOrder checks under lasting overload that drafts are shed before chat, that a pipeline's own
// shed order overrides that of its class, and that confirmations are never shed. After the overload
// everything is admitted again.
func TestBrownoutOrder(t *testing.T) {
	callers := []caller{
		{"c draft", 1, workOf(optext.Deferrable, 0), 100}, {"c chat", 1, workOf(optext.Interactive, 0), 100},
		{"c bid", 1, workOf(optext.Confirmation, 0), 50}, {"c kept", 1, workOf(optext.Deferrable, neverShed), 50},
	}
	m := newOverloadModel(400)
	for _, step := range []struct {
		when     string
		capacity int
		settle   int
		want     [4][2]float64 // minimum and maximum ratio of shed requests
	}{
		{"no overload", 400, 1, [4][2]float64{}},
		{"slight overload", 250, 20, [4][2]float64{{0.3, 0.6}}},
		{"half the demand", 150, 20, [4][2]float64{{0.97, 1}, {0.3, 0.6}}},
		{"severe overload", 100, 40, [4][2]float64{{1, 1}, {0.8, 1}}},
		{"after the overload", 400, 80, [4][2]float64{}},
	} {
		m.capacity = step.capacity
		m.run(step.settle, callers)
		m.run(50, callers)
		for i, c := range callers {
			if got := m.shedRatio(c.name); got < step.want[i][0] || got > step.want[i][1] {
				t.Errorf("%s: %s is shed at a ratio of %.3f, want %v", step.when, c.name, got, step.want[i])
			}
		}
	}
}

// TestShedsWhatExceedsTheShares offers three times the capacity. The gates must stay busy and refuse little,
// small customers must lose nothing, and large ones must divide the rest by their shares.
func TestShedsWhatExceedsTheShares(t *testing.T) {
	chat, draft := workOf(optext.Interactive, 0), workOf(optext.Deferrable, 0)
	callers := []caller{
		{"l chat", 4, chat, 100}, {"L chat", 2, chat, 400}, {"L draft", 2, draft, 50}, {"l draft", 4, draft, 25},
		{"s chat", 1, chat, 8}, {"s draft", 1, draft, 4}, {"t chat", 1, chat, 10},
	}
	m := newOverloadModel(200)
	m.run(20, callers)
	m.run(100, callers)
	taken := 0
	for _, n := range m.taken {
		taken += n
	}
	if goodput := float64(taken) / (100 * 200); goodput < 0.97 {
		t.Errorf("goodput %.3f of capacity", goodput)
	}
	if share := float64(m.refused) / float64(taken); share > 0.1 {
		t.Errorf("the gates refuse %.3f attempts per accepted one", share)
	}
	for _, name := range []string{"s chat", "s draft", "t chat"} {
		if m.shedRatio(name) > 0 {
			t.Errorf("%s is shed at a ratio of %.3f, want none", name, m.shedRatio(name))
		}
	}
	large, small := m.sent["l chat"]+m.sent["l draft"], m.sent["L chat"]+m.sent["L draft"]
	if ratio := float64(large) / float64(small); ratio < 1.8 || ratio > 2.2 {
		t.Errorf("shares 4 and 2 are served at a ratio of %.2f to 1", ratio)
	}
	if m.sent["L draft"] > m.offered["L draft"]/50 {
		t.Errorf("%d drafts are admitted while chat of the same customer is shed", m.sent["L draft"])
	}
}

// TestShedLetsASmallBurstPass checks that a customer below its share loses none of its requests to a flood,
// even if they come in bursts of a few.
func TestShedLetsASmallBurstPass(t *testing.T) {
	chat := workOf(optext.Interactive, 0)
	flood, small := caller{"l chat", 39, chat, 300}, caller{"s chat", 1, chat, 1}
	m := newOverloadModel(10)
	m.run(50, []caller{flood})
	offered, sent := 0, 0
	for range 20 {
		for range 3 {
			m.run(1, []caller{small, flood})
			offered, sent = offered+m.offered[small.name], sent+m.sent[small.name]
		}
		m.run(21, []caller{flood})
	}
	if offered != 60 || sent < offered {
		t.Errorf("%d of %d requests were admitted, though they are half of the customer's share", sent, offered)
	}
}
