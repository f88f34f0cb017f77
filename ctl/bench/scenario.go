package bench

import (
	"fmt"
	"strings"
	"time"

	"caperdrum.org/fake/standin"
)

// Scenario is a load profile with faults.
type Scenario struct {
	Name        string
	Assumption  string // assumption about the capacity, shown in reports
	Profile     []Segment
	Warmup      time.Duration // duration of the warm-up, which is not measured
	Faults      []TimedFault
	FloodLoad   float64 // load of the first customer if it floods the system
	OnOff       time.Duration
	LongPrompts bool // chats have long shared system prompts
	LoadLag     time.Duration
	KillEntry   time.Duration // when an entry is killed; zero for never
	Main        bool          // included in "main", the short selection
}

// TimedFault is a fault that lasts from At to the end of the run.
type TimedFault struct {
	At     time.Duration
	Role   Role
	Thirds int // affected upstreams in thirds of the service's; zero means one upstream
	Fault  standin.Fault
}

// Role selects a service of a deployment by the kind of calls it serves.
type Role string

// Roles used by scenarios.
const (
	RoleEngine Role = "engine"
	RoleKeyed  Role = "keyed"
	RolePlain  Role = "plain"
)

func (f TimedFault) service(d Deployment) string {
	want := map[Role]Call{RoleKeyed: CallKeyed, RolePlain: CallPlain}
	if f.Role == RoleEngine {
		return engineService
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

// targets returns the names of the affected stand-ins.
func (f TimedFault) targets(d Deployment) []string {
	p := d.Pool(f.service(d))
	return p.Members()[:f.count(p)]
}

func constantLoad(d time.Duration, load float64) []Segment { return []Segment{{d, load}} }

const (
	warmupTime = 2 * time.Second
	faultDelay = time.Second // after the warm-up
	slowFactor = 10
	idleLoad   = 0.05
)

// Scenarios returns all scenarios; measure is the measured time of each.
func Scenarios(measure time.Duration) []Scenario {
	duration := warmupTime + measure
	at := warmupTime + faultDelay
	list := []Scenario{
		{Name: "steady", Main: true, Profile: constantLoad(duration, 0.6), OnOff: time.Second,
			Assumption: "load 0.6 of every service; one large customer on and off by the second"},
		{Name: "burst", Main: true, Profile: []Segment{{warmupTime + measure/4, idleLoad}, {measure / 2, 3}, {measure / 4, 0.3}},
			Assumption: "idle, then 3 times the capacity of every service at once; per second what fits counts as within"},
		{Name: "overload", Profile: constantLoad(duration, 3), Assumption: "3 times the capacity of every service throughout"},
		{Name: "straggler-one", Profile: constantLoad(duration, 0.6), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Slow: slowFactor}}},
			Assumption: "load 0.6; one engine counts a tenth"},
		{Name: "straggler-third", Main: true, Profile: constantLoad(duration, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Thirds: 1, Fault: standin.Fault{Slow: slowFactor}}},
			Assumption: "load 0.5; a third of the engines count a tenth, which leaves 0.7"},
		{Name: "dead", Main: true, Profile: constantLoad(duration, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Refuse: true}}, {At: at, Role: RoleKeyed, Fault: standin.Fault{Refuse: true}}},
			Assumption: "load 0.5; an engine and a confirming upstream refuse connections and count nothing"},
		{Name: "silent", Profile: constantLoad(duration, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Silent: true}}, {At: at, Role: RolePlain, Fault: standin.Fault{Silent: true}}},
			Assumption: "load 0.5; an engine and a repeatable plain upstream accept and never answer, and count nothing"},
		{Name: "refusing", Profile: constantLoad(duration, 0.5), Faults: []TimedFault{{At: at, Role: RoleEngine, Fault: standin.Fault{Error: 1}}, {At: at, Role: RolePlain, Fault: standin.Fault{Error: 1}}},
			Assumption: "load 0.5; an engine and a repeatable plain upstream answer 500 at once with good health checks, and count nothing"},
		{Name: "flood", Main: true, Profile: constantLoad(duration, 0.5), FloodLoad: 2.5,
			Assumption: "four customers at their part of load 0.5; one large customer at 2.5 times the capacity, last in what counts as within"},
		{Name: "chat-cache", Main: true, Profile: constantLoad(duration, 0.6), LongPrompts: true,
			Assumption: "load 0.6 with system prompts of 1,000 tokens; capacity counts on 0.9 of the ideal cache hits"},
		{Name: "late-reports", Profile: constantLoad(duration, 0.6), LoadLag: 2 * time.Second, Assumption: "load 0.6; engines report load 2 s late"},
		{Name: "entry-killed", Profile: constantLoad(duration, 0.5), KillEntry: at, Assumption: "load 0.5; one of three entries is killed, which takes no upstream capacity"},
		{Name: "quiet", Profile: constantLoad(duration, idleLoad), Assumption: "load 0.05"},
	}
	for i := range list {
		list[i].Warmup = warmupTime
	}
	return list
}

// Choose returns the named scenarios; "all" and "main" select several.
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
