// Package optext is the operators' text: the one INI document that lists data
// centres, services, pipelines and customers. Parse accepts a whole, valid
// text or returns every fault with its line and a remedy.
package optext

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"caperdrum.org/api/strictini"
)

// Kind is the sort of upstream behind a service.
type Kind string

// Kinds of services.
const (
	Engine    Kind = "engine"
	Encoder   Kind = "encoder"
	Retriever Kind = "retriever"
	Reranker  Kind = "reranker"
	Plain     Kind = "plain"
)

// Class orders requests when not all can be served.
type Class string

// Classes, most urgent first.
const (
	Confirmation Class = "confirmation"
	Interactive  Class = "interactive"
	Deferrable   Class = "deferrable"
)

// DataCenter is a place with its own failures and distances.
type DataCenter struct {
	Name   string `ini:"-" json:"name"`
	Region string `ini:"region" json:"region"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name            string `ini:"-" json:"name"`
	Kind            string `ini:"kind" required:"true" json:"kind"`
	Repeatable      bool   `ini:"repeatable" json:"repeatable"`         // idempotent calls, safe to run twice
	HonorsFencing   bool   `ini:"honors_fencing" json:"honors_fencing"` // refuses orders with an old fencing token by itself
	Concurrency     int    `ini:"concurrency" json:"concurrency"`       // calls one upstream runs at a time
	QueueLength     int    `ini:"queue_length" json:"queue_length"`     // attempts that may wait at one gate
	RoutingPolicy   string `ini:"routing" json:"routing"`               // name of a routing policy
	HedgePercent    int    `ini:"hedge_percent" json:"hedge_percent"`   // budget of hedged attempts, percent of requests; 0 switches hedging off
	RetryPercent    int    `ini:"retry_percent" json:"retry_percent"`   // budget of retries, percent of requests
	QueueDiscipline string `ini:"queue" json:"queue"`                   // fair or fifo
	Subset          int    `ini:"subset" json:"subset"`                 // upstreams that one entry uses; 0 means all
	Shed            bool   `ini:"shed" json:"shed"`                     // entries admit little more than its gates take while they refuse for lack of capacity
	Limiter         string `ini:"limiter" json:"limiter"`               // how the gate sets its limit: fixed, or climb with concurrency as the maximum
	Ejection        bool   `ini:"ejection" json:"ejection"`             // leave out upstreams that fail or lag far behind the others

	Models      string        `ini:"models" json:"models,omitempty"`             // MODEL@VERSION, or MODEL@VERSION/ADAPTER, that warm upstreams hold
	EngineRole  string        `ini:"engine_role" json:"engine_role,omitempty"`   // role that the engines are told to play
	Scale       string        `ini:"scale" json:"scale,omitempty"`               // off, threshold or forecast
	MinWarm     int           `ini:"min_warm" json:"min_warm,omitempty"`         // upstreams that stay loaded in quiet hours
	IdleAfter   time.Duration `ini:"idle_after" json:"idle_after,omitempty"`     // lower demand must last this long before an unload
	WakeLead    time.Duration `ini:"wake_lead" json:"wake_lead,omitempty"`       // how far ahead of a forecast rise loading starts
	LoadTimeout time.Duration `ini:"load_timeout" json:"load_timeout,omitempty"` // a load that takes longer has failed
	WeightBytes int64         `ini:"weight_bytes" json:"weight_bytes,omitempty"` // bytes of one load from the weight store

	Direct
}

// Pipeline is a graph of stages that share one deadline.
type Pipeline struct {
	Name     string        `ini:"-" json:"name"`
	Deadline time.Duration `ini:"deadline" required:"true" json:"deadline"`
	Class    string        `ini:"class" json:"class"`
	Model    string        `ini:"model" json:"model"` // model name that selects this pipeline at the chat endpoint
	Refuse   bool          `ini:"refuse_late" json:"refuse_late"`
	// ShedOrder says when the pipeline is shed under overload, lowest first: 0
	// means by class (deferrable 1, interactive 2, confirmation never), -1 never.
	ShedOrder int      `ini:"shed_order" json:"shed_order"`
	Stages    []*Stage `ini:"-" json:"stages"` // in topological order
}

// Stage is one call of a pipeline.
type Stage struct {
	Name    string   `ini:"-" json:"name"`
	Service string   `ini:"service" required:"true" json:"service"`
	After   []string `ini:"after" json:"after"`
}

// Customer is a caller with a share of the capacity.
type Customer struct {
	Name  string  `ini:"-" json:"name"`
	Share float64 `ini:"share" json:"share"` // weight in fair queues
	Rate  float64 `ini:"rate" json:"rate"`   // requests per second over all entries; 0 means no limit

	Keys      []string `ini:"keys" json:"-"`      // bearer keys of calls on routes
	Priority  int      `ini:"priority" json:"-"`  // goes before a route's; NoPriority leaves that
	Extension string   `ini:"extension" json:"-"` // see Direct.Extension
}

// NoPriority is the priority of a customer that has none of its own.
const NoPriority = 1 << 30

// Config is a whole, valid text.
type Config struct {
	DataCenters map[string]*DataCenter
	Services    map[string]*Service
	Pipelines   map[string]*Pipeline
	Customers   map[string]*Customer
	WeightStore *WeightStore // nil when the text names none
	Routes      []*Route     // in the order of the text
	Limits      Limits       // of callers on routes

	// Extension carries what another front end's document says and caperdrum
	// has no use for.
	Extension string

	models map[string]*Pipeline
	parts  map[string]part // by section; nil where the text has sections that Next cannot tell apart
}

// ByModel returns the pipeline that serves the chat endpoint's model name.
func (c *Config) ByModel(model string) *Pipeline { return c.models[model] }

const (
	defaultConcurrency = 8
	defaultQueueLength = 64
	defaultHedge       = 3
	defaultRetry       = 10
)

// RoutingPolicies are the accepted values of routing.
var RoutingPolicies = []string{"predicted", "round-robin", "random", "least-in-flight"}

// Parse reads a text. The error is of type strictini.Problems.
func Parse(name string, data []byte) (*Config, error) {
	p, err := newParser(name, data)
	if err != nil {
		return nil, err
	}
	bodies := bodiesOf(string(data))
	for _, section := range p.f.Sections() {
		p.keep(section, bodies, p.section(section))
	}
	return p.end()
}

func newParser(name string, data []byte) (*parser, error) {
	f, err := strictini.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return &parser{f: f, c: &Config{
		DataCenters: map[string]*DataCenter{},
		Services:    map[string]*Service{},
		Pipelines:   map[string]*Pipeline{},
		Customers:   map[string]*Customer{},
		models:      map[string]*Pipeline{},
		parts:       map[string]part{},
	}}, nil
}

func (p *parser) end() (*Config, error) {
	p.check()
	if err := p.f.Err(); err != nil {
		return nil, err
	}
	return p.c, nil
}

type parser struct {
	f           *strictini.File
	c           *Config
	stages      []stageRef
	routeStages []routeStageRef
	customers   []string // in the order of the text
}

type stageRef struct {
	section, pipeline string
	stage             *Stage
}

// section decodes a section and adds it to the configuration. It returns what Next may
// use again, or nil.
func (p *parser) section(section string) any {
	kind, name, found := strings.Cut(section, ":")
	if !found || name == "" {
		p.f.Fail(section, "", "section ["+section+"] has no name", "write [service:NAME], [pipeline:NAME], [stage:PIPELINE/NAME], [customer:NAME] or [data_center:NAME]")
		return nil
	}
	value := p.decode(section, kind, name)
	p.add(value)
	return value
}

func (p *parser) decode(section, kind, name string) any {
	switch kind {
	case "data_center":
		dc := &DataCenter{Name: name}
		p.f.Decode(section, dc)
		return dc
	case "service":
		return p.service(section, name)
	case "pipeline":
		pl := &Pipeline{Name: name, Class: string(Interactive), Refuse: true}
		p.f.Decode(section, pl)
		return pl
	case "stage":
		return p.stage(section, name)
	case "customer":
		cu := &Customer{Name: name, Share: 1, Priority: NoPriority}
		p.f.Decode(section, cu)
		return cu
	case "route":
		return p.route(section, name)
	case "route_stage":
		return p.routeStage(section, name)
	case "limits":
		p.f.Decode(section, &p.c.Limits)
	case "document":
		p.document(section)
	case "weight_store":
		p.weightStore(section, name)
	default:
		p.f.Fail(section, "", "unknown section kind "+kind, "use service, pipeline, stage, route, route_stage, customer, limits, document, data_center or weight_store")
	}
	return nil
}

// add puts what a section says into the configuration. What check completes is copied
// there or before, since Next shares it between configurations.
func (p *parser) add(value any) {
	switch v := value.(type) {
	case *DataCenter:
		p.c.DataCenters[v.Name] = v
	case *Service:
		p.c.Services[v.Name] = v
	case *Pipeline:
		own := *v
		p.c.Pipelines[v.Name] = &own
	case stageRef:
		p.stages = append(p.stages, v)
	case *Customer:
		p.c.Customers[v.Name] = v
		p.customers = append(p.customers, v.Name)
	case *Route:
		p.c.Routes = append(p.c.Routes, v)
	case routeStageRef:
		p.routeStages = append(p.routeStages, v)
	}
}

// document reads what belongs to no part of the text.
func (p *parser) document(section string) {
	var d struct {
		Extension string `ini:"extension"`
	}
	p.f.Decode(section, &d)
	p.c.Extension = d.Extension
}

func (p *parser) service(section, name string) *Service {
	s := &Service{Name: name, Concurrency: defaultConcurrency, QueueLength: defaultQueueLength,
		RoutingPolicy: RoutingPolicies[0], HedgePercent: defaultHedge, RetryPercent: defaultRetry, QueueDiscipline: "fair", Ejection: true, Shed: true, Limiter: "fixed"}
	s.setScaleDefaults()
	p.f.Decode(section, s)
	p.oneOf(section, "kind", s.Kind, string(Engine), string(Encoder), string(Retriever), string(Reranker), string(Plain), string(Batch))
	p.oneOf(section, "upstreams", s.Upstreams, "", Announced)
	p.oneOf(section, "routing", s.RoutingPolicy, RoutingPolicies...)
	p.oneOf(section, "queue", s.QueueDiscipline, "fair", "fifo")
	p.oneOf(section, "limiter", s.Limiter, "fixed", "climb")
	p.scale(section, s)
	if s.Concurrency < 1 {
		p.f.Fail(section, "concurrency", "concurrency is zero", "write 1 or more")
	}
	return s
}

func (p *parser) stage(section, name string) any {
	pipeline, stage, found := strings.Cut(name, "/")
	if !found || stage == "" {
		p.f.Fail(section, "", "stage ["+section+"] names no pipeline", "write [stage:PIPELINE/NAME]")
		return nil
	}
	st := &Stage{Name: stage}
	p.f.Decode(section, st)
	return stageRef{section, pipeline, st}
}

func (p *parser) oneOf(section, key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	p.f.Fail(section, key, fmt.Sprintf("%s = %q is not known", key, value), "use one of: "+strings.Join(allowed, ", "))
}

func (p *parser) check() {
	for _, r := range p.stages {
		pl := p.c.Pipelines[r.pipeline]
		if pl == nil {
			p.f.Fail(r.section, "", "pipeline "+r.pipeline+" does not exist", "add [pipeline:"+r.pipeline+"]")
			continue
		}
		if p.c.Services[r.stage.Service] == nil {
			p.f.Fail(r.section, "service", "service "+r.stage.Service+" does not exist", "add [service:"+r.stage.Service+"]")
		}
		pl.Stages = append(pl.Stages, r.stage)
	}
	p.checkWeights()
	p.checkRoutes()
	for _, name := range sortedKeys(p.c.Pipelines) {
		p.pipeline(p.c.Pipelines[name])
	}
}

func (p *parser) pipeline(pl *Pipeline) {
	section := "pipeline:" + pl.Name
	p.oneOf(section, "class", pl.Class, string(Confirmation), string(Interactive), string(Deferrable))
	if pl.Deadline <= 0 {
		p.f.Fail(section, "deadline", "deadline is zero", "write a duration such as 5s")
	}
	if len(pl.Stages) == 0 {
		p.f.Fail(section, "", "pipeline "+pl.Name+" has no stage", "add [stage:"+pl.Name+"/NAME]")
		return
	}
	if pl.Model != "" {
		if other := p.c.models[pl.Model]; other != nil {
			p.f.Fail(section, "model", "model "+pl.Model+" already selects pipeline "+other.Name, "name another model")
		}
		p.c.models[pl.Model] = pl
	}
	p.order(section, pl)
}

// order sorts the stages topologically (Kahn 1962), keeping the text's order
// among stages that do not depend on each other.
func (p *parser) order(section string, pl *Pipeline) {
	done := map[string]bool{}
	names := map[string]bool{}
	for _, s := range pl.Stages {
		names[s.Name] = true
	}
	var sorted []*Stage
	for len(sorted) < len(pl.Stages) {
		before := len(sorted)
		for _, s := range pl.Stages {
			if !done[s.Name] && p.ready(pl.Name, s, names, done) {
				done[s.Name] = true
				sorted = append(sorted, s)
			}
		}
		if len(sorted) == before {
			p.f.Fail(section, "", "stages of pipeline "+pl.Name+" wait for each other", "remove a cycle or an unknown name in after = ...")
			return
		}
	}
	pl.Stages = sorted
}

func (p *parser) ready(pipeline string, s *Stage, names, done map[string]bool) bool {
	for _, a := range s.After {
		if !names[a] {
			p.f.Fail("stage:"+pipeline+"/"+s.Name, "after", "stage "+a+" does not exist", "name a stage of the same pipeline")
			return true
		}
		if !done[a] {
			return false
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
