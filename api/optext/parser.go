package optext

import (
	"fmt"
	"sort"
	"strings"

	"caperdrum.org/api/strictini"
)

// Parse parses a text. An error is of type strictini.Problems; name stands for the file in it.
func Parse(name string, data []byte) (*Config, error) {
	p, err := newParser(name, data)
	if err != nil {
		return nil, err
	}
	bodies := splitSections(string(data))
	for _, section := range p.f.Sections() {
		p.cacheSection(section, bodies, p.parseSection(section))
	}
	return p.finish()
}

func newParser(name string, data []byte) (*parser, error) {
	f, err := strictini.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return &parser{f: f, c: &Config{
		DataCenters:  map[string]*DataCenter{},
		Services:     map[string]*Service{},
		Pipelines:    map[string]*Pipeline{},
		Customers:    map[string]*Customer{},
		models:       map[string]*Pipeline{},
		sectionCache: map[string]cachedSection{},
	}}, nil
}

func (p *parser) finish() (*Config, error) {
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

// parseSection decodes a section and adds it to the configuration. It returns the value that
// ParseIncremental may reuse, or nil if there is none.
func (p *parser) parseSection(section string) any {
	kind, name, found := strings.Cut(section, ":")
	if !found || name == "" {
		p.f.Fail(section, "", "section ["+section+"] has no name", "write [service:NAME], [pipeline:NAME], [stage:PIPELINE/NAME], [customer:NAME] or [data_center:NAME]")
		return nil
	}
	value := p.decodeSection(section, kind, name)
	p.add(value)
	return value
}

func (p *parser) decodeSection(section, kind, name string) any {
	switch kind {
	case "data_center":
		dc := &DataCenter{Name: name}
		p.f.Decode(section, dc)
		return dc
	case "service":
		return p.parseService(section, name)
	case "pipeline":
		pl := &Pipeline{Name: name, Class: string(Interactive), RefuseLate: true}
		p.f.Decode(section, pl)
		return pl
	case "stage":
		return p.parseStage(section, name)
	case "customer":
		cu := &Customer{Name: name, Share: 1, Priority: NoPriority}
		p.f.Decode(section, cu)
		return cu
	case "route":
		return p.parseRoute(section, name)
	case "route_stage":
		return p.parseRouteStage(section, name)
	case "limits":
		p.f.Decode(section, &p.c.Limits)
	case "authentication":
		p.parseAuthentication(section)
	case "document":
		p.parseDocument(section)
	case "weight_store":
		p.parseWeightStore(section, name)
	default:
		p.f.Fail(section, "", "unknown section kind "+kind, "use service, pipeline, stage, route, route_stage, customer, limits, authentication, document, data_center or weight_store")
	}
	return nil
}

// add adds a decoded section to the configuration. ParseIncremental shares decoded values between
// configurations, so values that check modifies are copied, here or in checkRoutes.
func (p *parser) add(value any) {
	switch v := value.(type) {
	case *DataCenter:
		p.c.DataCenters[v.Name] = v
	case *Service:
		p.c.Services[v.Name] = v
	case *Pipeline:
		clone := *v
		p.c.Pipelines[v.Name] = &clone
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

// parseDocument parses the section of document-level fields.
func (p *parser) parseDocument(section string) {
	var d struct {
		Extension string `ini:"extension"`
	}
	p.f.Decode(section, &d)
	p.c.Extension = d.Extension
}

// parseAuthentication parses the section of a text that requires keys although it has no customers.
func (p *parser) parseAuthentication(section string) {
	var a struct {
		Required bool `ini:"required" required:"true"`
	}
	p.f.Decode(section, &a)
	if !a.Required {
		p.f.Fail(section, "required", "required = false has no effect", "write required = true, or leave the section out; mark routes without keys as public")
	}
	p.c.KeysRequired = true
}

func (p *parser) parseService(section, name string) *Service {
	s := &Service{Name: name, Concurrency: defaultConcurrency, QueueLength: defaultQueueLength,
		RoutingPolicy: RoutingPolicies[0], HedgePercent: defaultHedgePercent, RetryPercent: defaultRetryPercent, QueueDiscipline: "fair", Ejection: true, Shed: true, Limiter: "fixed"}
	s.setScaleDefaults()
	p.f.Decode(section, s)
	p.oneOf(section, "kind", s.Kind, string(Engine), string(Encoder), string(Retriever), string(Reranker), string(Plain), string(Batch))
	p.oneOf(section, "upstreams", s.Upstreams, "", Announced)
	p.oneOf(section, "routing", s.RoutingPolicy, RoutingPolicies...)
	p.oneOf(section, "queue", s.QueueDiscipline, "fair", "fifo")
	p.oneOf(section, "limiter", s.Limiter, "fixed", "climb")
	p.checkScale(section, s)
	if s.Concurrency < 1 {
		p.f.Fail(section, "concurrency", "concurrency is zero", "write 1 or more")
	}
	return s
}

func (p *parser) parseStage(section, name string) any {
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
	p.checkWeightBytes()
	p.checkRoutes()
	p.c.KeysRequired = p.c.KeysRequired || len(p.customers) > 0
	for _, name := range sortedKeys(p.c.Pipelines) {
		p.checkPipeline(p.c.Pipelines[name])
	}
}

func (p *parser) checkPipeline(pl *Pipeline) {
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
	p.sortStages(section, pl)
}

// sortStages sorts the stages topologically (Kahn 1962). Stages that do not depend on each
// other keep the order of the text.
func (p *parser) sortStages(section string, pl *Pipeline) {
	done := map[string]bool{}
	names := map[string]bool{}
	for _, s := range pl.Stages {
		names[s.Name] = true
	}
	var sorted []*Stage
	for len(sorted) < len(pl.Stages) {
		previous := len(sorted)
		for _, s := range pl.Stages {
			if !done[s.Name] && p.dependenciesDone(pl.Name, s, names, done) {
				done[s.Name] = true
				sorted = append(sorted, s)
			}
		}
		if len(sorted) == previous {
			p.f.Fail(section, "", "stages of pipeline "+pl.Name+" wait for each other", "remove a cycle or an unknown name in after = ...")
			return
		}
	}
	pl.Stages = sorted
}

func (p *parser) dependenciesDone(pipeline string, s *Stage, names, done map[string]bool) bool {
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
