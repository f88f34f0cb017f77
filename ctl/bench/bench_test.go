package bench

import (
	"context"
	"math"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/fake/standin"
)

func testPlan(d Deployment, name string, t *testing.T) Plan {
	t.Helper()
	sc, err := Choose(Scenarios(5*time.Second), name)
	if err != nil {
		t.Fatal(err)
	}
	return Plan{Deployment: d, Scenario: sc[0], Seed: 7, Tag: "test", Rates: NominalRates(d, sc[0], 7)}
}

func TestSameSeedSameSchedule(t *testing.T) {
	for name, d := range map[string]Deployment{"steady": Argyris(), "burst": Blomsterhallen(), "flood": Argyris(), "chat-cache": Blomsterhallen()} {
		p := testPlan(d, name, t)
		a, b := p.Schedule(), p.Schedule()
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%s %s: two schedules differ", d.Name, name)
		}
		p.Seed++
		if reflect.DeepEqual(a, p.Schedule()) {
			t.Fatalf("%s %s: another seed gives the same schedule", d.Name, name)
		}
	}
}

// TestLoadIsWhatTheScenarioStates compares the work that a schedule offers to each home service with the load
// of the scenario, and the requests that fit with the capacity.
func TestLoadIsWhatTheScenarioStates(t *testing.T) {
	for _, d := range []Deployment{Argyris(), Blomsterhallen()} {
		for name, load := range map[string]float64{"late-reports": 0.6, "overload": 3} {
			p := testPlan(d, name, t)
			schedule := p.Schedule()
			markFitting(p, schedule)
			offered, fitting := 0.0, 0.0
			for i, w := range workByRequest(d, schedule) {
				offered += w[engineService]
				if schedule[i].FitsCapacity {
					fitting += w[engineService]
				}
			}
			capacity := float64(d.Pool(engineService).Count) * totalDuration(p.Scenario.Profile).Seconds()
			if math.Abs(offered/capacity-load) > 0.1*load {
				t.Errorf("%s %s: offered %.2f of the engines' capacity", d.Name, name, offered/capacity)
			}
			if want := min(load, 1); fitting/capacity > 1 || math.Abs(fitting/capacity-want) > 0.1 {
				t.Errorf("%s %s: %.2f of the capacity fits, want %.2f", d.Name, name, fitting/capacity, want)
			}
		}
	}
}

func TestPreparedConfigsAndVariantsAreValid(t *testing.T) {
	policies, err := ParsePolicies("predicted,round-robin,random,least-in-flight,mine[hedge_percent=1;refuse_late=false]")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []Deployment{Argyris(), Blomsterhallen()} {
		source, err := os.ReadFile("../../examples/" + d.Name + ".ini")
		if err != nil {
			t.Fatal(err)
		}
		text, err := d.ConfigText(string(source))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range policies {
			variant, err := p.Apply(text)
			if err != nil {
				t.Fatalf("%s %s: %v", d.Name, p.Name, err)
			}
			c, err := optext.Parse(p.Name, []byte(variant))
			if err != nil {
				t.Fatal(err)
			}
			checkVariant(t, d, p, c)
		}
	}
}

func checkVariant(t *testing.T, d Deployment, p Policy, c *optext.Config) {
	t.Helper()
	for _, pool := range d.Pools {
		s := c.Services[pool.Service]
		if s == nil || s.Concurrency != pool.Slots {
			t.Fatalf("%s: service %s is %+v, want concurrency %d", d.Name, pool.Service, s, pool.Slots)
		}
		if want := p.Keys["service.routing"]; want != "" && (s.RoutingPolicy != want || s.HedgePercent != 0 || s.QueueDiscipline != "fifo") {
			t.Fatalf("%s: %s is not the baseline %s: %+v", d.Name, pool.Service, want, s)
		}
	}
	for _, f := range d.Flows {
		if f.Call == CallPipeline && c.Pipelines[f.Target] == nil || f.Call == CallChat && c.ByModel(f.Target) == nil {
			t.Fatalf("%s: flow %s has no pipeline", d.Name, f.Name)
		}
	}
	for _, cu := range d.Customers {
		if c.Customers[cu.Name] == nil {
			t.Fatalf("%s: customer %s is not in the configuration", d.Name, cu.Name)
		}
	}
}

// stalled is a sender that blocks until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Send(context.Context, *Request, time.Time) Reply {
	<-s.release
	return Reply{Complete: true, Answered: true}
}

// TestStallShowsInEveryDelayedRequest sends 10 requests, 100 ms apart, to a server that stalls for 2 s. A
// generator that waits for replies, or measures from the actual start, would report a single slow request
// (coordinated omission).
func TestStallShowsInEveryDelayedRequest(t *testing.T) {
	const n, gap, stall = 10, 100 * time.Millisecond, 2 * time.Second
	flow := &Flow{Deadline: time.Second}
	var schedule []*Request
	for i := range n {
		schedule = append(schedule, &Request{At: time.Duration(i) * gap, Flow: flow})
	}
	clock := clockwork.NewFakeClock()
	server := stalled{make(chan struct{})}
	r := newResult(Scenario{}, "")
	var mu sync.Mutex
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(context.Background(), clock, schedule, server, func(o Outcome) {
			mu.Lock()
			defer mu.Unlock()
			r.count(o)
		})
	}()
	for range n - 1 {
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(gap)
	}
	clock.Advance(stall - (n-1)*gap)
	close(server.release)
	<-ended
	r.computeQuantiles()
	if r.latency.TotalCount() != n || r.latency.Min() < 1099_000 || r.latency.Max() < 1999_000 || r.Late != n {
		t.Fatalf("%d latencies from %d to %d µs, %d late; want %d from 1.1 s to 2 s, all late", r.latency.TotalCount(), r.latency.Min(), r.latency.Max(), r.Late, n)
	}
}

func TestOutcomesAreCheckedAgainstWhatRan(t *testing.T) {
	quote := &Flow{Name: "quote", Deadline: time.Second, Services: []string{"encoder", engineService}}
	keyedFlow := &Flow{Name: "confirm", Deadline: time.Second, Services: []string{"desk"}}
	refused := Reply{Answered: true, Verdict: verdict.NotRun, Sends: 1}
	complete := Reply{Answered: true, Complete: true, Text: "right", Sends: 1}
	outcomes := []Outcome{
		{Request: &Request{ID: "never", Flow: quote}, Reply: refused},
		{Request: &Request{ID: "encoded", Flow: quote}, Reply: refused},
		{Request: &Request{ID: "generated", Flow: quote}, Reply: refused},
		{Request: &Request{ID: "whole", Flow: quote, Expected: "right"}, Reply: complete},
		{Request: &Request{ID: "crossed", Flow: quote, Expected: "other"}, Reply: complete},
		{Request: &Request{ID: "twice", Key: "twice", Body: []byte("twice"), Flow: keyedFlow, Expected: "right"}, Reply: complete},
		{Request: &Request{ID: "phantom", Key: "phantom", Body: []byte("phantom"), Flow: keyedFlow, Expected: "right"}, Reply: complete},
	}
	record := func(id string, runs, completed int, longest, held time.Duration) standin.RunRecord {
		return standin.RunRecord{Request: id, Runs: runs, Completed: completed, Longest: longest, Held: held}
	}
	ran := &groundTruth{bodies: map[string]int{"twice": 2}, accounts: []standin.Account{
		{Name: "encoder-1", Records: []standin.RunRecord{record("encoded", 1, 1, time.Second, time.Second), record("generated", 1, 1, time.Second, time.Second)}},
		{Name: engineService + "-1", Records: []standin.RunRecord{record("generated", 1, 0, 0, time.Second), record("whole", 1, 1, 2*time.Second, 2*time.Second)}},
		{Name: engineService + "-2", Records: []standin.RunRecord{record("whole", 1, 0, 0, time.Second)}},
	}}
	r := newResult(Scenario{}, "")
	for _, o := range outcomes {
		r.count(o)
	}
	r.check(outcomes, ran)
	got := []int{r.Total.Attained, r.Refused, r.Wrong, r.FalseNotRun, r.PartlyRun, r.Doubled, r.Phantom}
	if want := []int{3, 3, 1, 1, 1, 1, 1}; !reflect.DeepEqual(got, want) {
		t.Fatalf("attained, refused, wrong, false, partly, doubled, phantom: %v, want %v", got, want)
	}
	if c := r.Costs[engineService]; c != (Cost{Held: 4, Extra: 1, Abandoned: 1}) {
		t.Fatalf("cost of the engines: %+v", c)
	}
}

func TestStreamIsWholeOnlyWithItsFinalEvent(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n"
	for body, want := range map[string]Reply{
		event + event + "data: [DONE]\n\n": {Complete: true, Text: "a a "},
		event + event:                      {Text: "a a "},
	} {
		var got Reply
		got.readStream(strings.NewReader(body))
		if got.Complete != want.Complete || got.Text != want.Text || len(got.TokenGaps) != 1 {
			t.Errorf("%q: %+v", body, got)
		}
	}
}
