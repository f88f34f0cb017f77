package bench

import (
	"fmt"
	"strings"
	"time"

	"caperdrum.org/fake/standin"
)

// Scenario is a load and what goes wrong under it.
type Scenario struct {
	Name       string
	Assumption string // about the capacity
	Profile    []Segment
	Warm       time.Duration // at the start; does not count
	Faults     []TimedFault
	Flood      float64 // load of the first customer when it floods
	OnOff      time.Duration
	ChatHeavy  bool // long shared prompts
	LoadLag    time.Duration
	KillEntry  time.Duration // when an entry is killed; zero for never
	Main       bool          // part of a short run
}

// TimedFault is a fault from some time on until the end of the run.
type TimedFault struct {
	At     time.Duration
	Role   Role
	Thirds int // thirds of the service's upstreams; zero is one upstream
	Fault  standin.Fault
}

// Role picks a service of a deployment by its part in the pipelines.
type Role string

// Roles that scenarios name.
const (
	RoleEngine Role = "engine"
	RoleKeyed  Role = "keyed"
	RolePlain  Role = "plain"
)

func (f TimedFault) service(d Deployment) string {
	want := map[Role]Call{RoleKeyed: CallKeyed, RolePlain: CallPlain}
	if f.Role == RoleEngine {
		return llm
	}
	for _, flow := range d.Flows {
		if flow.Call == want[f.Role] {
			return flow.Home
		}
	}
	return ""
}

func (f TimedFault) count(p Pool) int {
	if f.Thirds == 0 {
		return 1
	}
	return p.Count * f.Thirds / 3
}

// targets returns the stand-ins that the fault hits.
func (f TimedFault) targets(d Deployment) []string {
	p := d.Pool(f.service(d))
	return p.Members()[:f.count(p)]
}

func steady(d time.Duration, load float64) []Segment { return []Segment{{d, load}} }

const (
	warmTime   = 2 * time.Second
	faultDelay = time.Second // after the warm time
	slowFactor = 10
	idleLoad   = 0.05
)

// Scenarios returns all scenarios; measure is the time that counts in each.
func Scenarios(measure time.Duration) []Scenario {
	whole := warmTime + measure
	at := warmTime + faultDelay
	list := []Scenario{
		{Name: "steady", Main: true, Profile: steady(whole, 0.6), OnOff: time.Second,
			Assumption: "load 0.6 of every service; one large customer on and off by the second"},
		{Name: "burst", Main: true, Profile: []Segment{{warmTime + measure/4, idleLoad}, {measure / 2, 3}, {measure / 4, 0.3}},
			Assumption: "idle, then 3 times the capacity of every service at once; per second what fits counts as within"},
		{Name: "overload", Profile: steady(whole, 3), Assumption: "3 times the capacity of every service throughout"},
		{Name: "straggler-one", Profile: steady(whole, 0.6), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Slow: slowFactor}}},
			Assumption: "load 0.6; one engine counts a tenth"},
		{Name: "straggler-third", Main: true, Profile: steady(whole, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Thirds: 1, Fault: standin.Fault{Slow: slowFactor}}},
			Assumption: "load 0.5; a third of the engines count a tenth, which leaves 0.7"},
		{Name: "dead", Main: true, Profile: steady(whole, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Refuse: true}}, {At: at, Role: RoleKeyed, Fault: standin.Fault{Refuse: true}}},
			Assumption: "load 0.5; an engine and a confirming upstream refuse connections and count nothing"},
		{Name: "silent", Profile: steady(whole, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Silent: true}}, {At: at, Role: RolePlain, Fault: standin.Fault{Silent: true}}},
			Assumption: "load 0.5; an engine and a repeatable plain upstream accept and never answer, and count nothing"},
		{Name: "refusing", Profile: steady(whole, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Error: 1}}, {At: at, Role: RolePlain, Fault: standin.Fault{Error: 1}}},
			Assumption: "load 0.5; an engine and a repeatable plain upstream answer 500 at once with good health checks, and count nothing"},
		{Name: "flood", Main: true, Profile: steady(whole, 0.5), Flood: 2.5,
			Assumption: "four customers at their part of load 0.5; one large customer at 2.5 times the capacity, last in what counts as within"},
		{Name: "chat-cache", Main: true, Profile: steady(whole, 0.6), ChatHeavy: true,
			Assumption: "load 0.6 with system prompts of 1,000 tokens; capacity counts on 0.9 of the ideal cache hits"},
		{Name: "late-reports", Profile: steady(whole, 0.6), LoadLag: 2 * time.Second, Assumption: "load 0.6; engines report load 2 s late"},
		{Name: "entry-killed", Profile: steady(whole, 0.5), KillEntry: at, Assumption: "load 0.5; one of three entries is killed, which takes no upstream capacity"},
		{Name: "quiet", Profile: steady(whole, idleLoad), Assumption: "load 0.05"},
	}
	for i := range list {
		list[i].Warm = warmTime
	}
	return list
}

// Choose returns the named scenarios; "all" and "main" name several.
func Choose(all []Scenario, names string) ([]Scenario, error) {
	var out []Scenario
	for _, name := range strings.Split(names, ",") {
		found := false
		for _, s := range all {
			if name == "all" || name == "main" && s.Main || name == s.Name {
				out, found = append(out, s), true
			}
		}
		if !found {
			return nil, fmt.Errorf("scenario %q is not known", name)
		}
	}
	return out, nil
}
