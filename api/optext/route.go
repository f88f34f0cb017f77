package optext

import (
	"strconv"
	"strings"
	"time"
)

// Announced is the value of a service's upstreams key for upstreams that announce
// themselves and are called directly, without an agent.
const Announced = "announced"

// Batch is the kind of a service whose upstreams produce pieces of stage results, many
// in one call.
const Batch Kind = "batch"

// Direct holds the settings of a service with announced upstreams.
type Direct struct {
	Upstreams      string `ini:"upstreams" json:"upstreams,omitempty"` // Announced, or empty for upstreams with agents
	HealthPath     string `ini:"health_path" json:"health_path,omitempty"`
	MaxConnections int    `ini:"max_connections" json:"max_connections,omitempty"` // maximum number of connections to one upstream, from all processes together
	Protocol       string `ini:"protocol" json:"protocol,omitempty"`
	TLS            bool   `ini:"tls" json:"tls,omitempty"`
	// ColdRate is the maximum number of calls per second to an upstream that has just started
	// or returned; 0 means no limit.
	ColdRate float64 `ini:"cold_rate" json:"cold_rate,omitempty"`

	EngineSlots  int   `ini:"engine_slots" json:"engine_slots,omitempty"`   // requests that an engine runs concurrently
	EngineTokens int64 `ini:"engine_tokens" json:"engine_tokens,omitempty"` // size of an engine's KV cache, in tokens
	TokenBytes   int64 `ini:"token_bytes" json:"token_bytes,omitempty"`     // bytes of KV cache per token; 0: engines do not transfer cache entries to each other
	EngineLink   int64 `ini:"engine_link" json:"engine_link,omitempty"`     // bandwidth for cache transfers between engines, in bits per second; 0: no transfers

	Calls      int           `ini:"calls" json:"calls,omitempty"`             // maximum number of concurrent calls per stage upstream
	CallQueue  int           `ini:"call_queue" json:"call_queue,omitempty"`   // maximum number of calls queued at a stage upstream
	Batch      int           `ini:"batch" json:"batch,omitempty"`             // maximum number of pieces per call
	CallTime   time.Duration `ini:"call_time" json:"call_time,omitempty"`     // fixed time of a call, without its pieces
	PieceTime  time.Duration `ini:"piece_time" json:"piece_time,omitempty"`   // approximate time per piece
	ResultRoom int64         `ini:"result_room" json:"result_room,omitempty"` // bytes of results that one upstream can store
	ResultTTL  time.Duration `ini:"result_ttl" json:"result_ttl,omitempty"`   // how long an upstream stores a result

	// Extension carries fields of another front end's document that caperdrum does not
	// use; it is returned unchanged.
	Extension string `ini:"extension" json:"extension,omitempty"`
}

// Route maps calls by host and path prefix to services with announced upstreams.
type Route struct {
	Name   string `ini:"-"`
	Host   string `ini:"host" required:"true"`
	Prefix string `ini:"path_prefix" required:"true"` // begins and ends with a slash

	Idempotent bool `ini:"idempotent"` // a call may run more than once
	Streaming  bool `ini:"streaming"`  // the response is an event stream
	Resumable  bool `ini:"resumable"`  // another upstream can resume an interrupted stream

	Service string   `ini:"service"`
	Split   []string `ini:"split"` // SERVICE:WEIGHT pairs, instead of Service

	Attempts int           `ini:"attempts"` // maximum number of upstreams that one call is sent to
	Timeout  time.Duration `ini:"timeout" required:"true"`
	Goal     time.Duration `ini:"goal"`     // target time to the first byte of the answer
	MaxGap   time.Duration `ini:"max_gap"`  // target for the longest gap between events of a stream
	Priority int           `ini:"priority"` // 0 is the highest
	Public   bool          `ini:"public"`   // requires no customer key
	Affinity bool          `ini:"affinity"` // calls share prompt prefixes

	Regions []string `ini:"regions"` // regions where calls may run and their data may be stored; empty means all

	Extension string `ini:"extension"` // see Direct.Extension

	Weights []Weight      `ini:"-"` // from Service or Split
	Stages  []*RouteStage `ini:"-"` // ordered by number
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Streaming && r.Resumable }

// Weight is the share of a route's calls that a service gets, relative to the other weights.
type Weight struct {
	Service string
	Weight  float64
}

// RouteStage is work that must finish before a call on the route can run.
type RouteStage struct {
	Number      int      `ini:"-"`
	Service     string   `ini:"service" required:"true"`
	After       []string `ini:"after"`        // numbers of the stages whose results are its inputs
	ResultBytes int64    `ini:"result_bytes"` // approximate size of one result
	Extension   string   `ini:"extension"`

	Inputs []int `ini:"-"` // After, parsed
}

// Limits bound the requests of callers on routes.
type Limits struct {
	MaxHeaderBytes int64         `ini:"max_header_bytes"`
	MaxBodyBytes   int64         `ini:"max_body_bytes"`
	HeaderTimeout  time.Duration `ini:"header_timeout"`
	IdleTimeout    time.Duration `ini:"idle_timeout"`
	Extension      string        `ini:"extension"`
}

// RouteKey identifies a route's calls; it is unique per route.
type RouteKey struct{ Host, Prefix string }

func (p *parser) parseRoute(section, name string) *Route {
	r := &Route{Name: name, Attempts: 1}
	p.f.Decode(section, r)
	if r.Prefix != "" && (!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/")) {
		p.f.Fail(section, "path_prefix", "path_prefix "+r.Prefix+" is not a whole path", "begin and end it with a slash")
	}
	if r.Timeout <= 0 {
		p.f.Fail(section, "timeout", "timeout is zero", "write a duration such as 5s")
	}
	p.parseWeights(section, r)
	return r
}

func (p *parser) parseWeights(section string, r *Route) {
	switch {
	case (r.Service == "") == (len(r.Split) == 0):
		p.f.Fail(section, "service", "route "+r.Name+" names no service, or both service and split", "write service = NAME or split = NAME:WEIGHT, NAME:WEIGHT")
		return
	case r.Service != "":
		r.Weights = []Weight{{r.Service, 1}}
		return
	}
	sum := 0.0
	for _, part := range r.Split {
		service, number, _ := strings.Cut(part, ":")
		weight, err := strconv.ParseFloat(number, 64)
		if err != nil || !(weight >= 0) {
			p.f.Fail(section, "split", "split part "+part+" has no weight", "write SERVICE:WEIGHT with a weight of zero or more")
			return
		}
		sum += weight
		r.Weights = append(r.Weights, Weight{service, weight})
	}
	if !(sum > 0) {
		p.f.Fail(section, "split", "the weights of route "+r.Name+" add up to zero", "give one service a weight above zero")
	}
}

func (p *parser) parseRouteStage(section, name string) any {
	route, number, _ := strings.Cut(name, "/")
	st := &RouteStage{}
	p.f.Decode(section, st)
	n, err := strconv.Atoi(number)
	if err != nil {
		p.f.Fail(section, "", "stage ["+section+"] has no number", "write [route_stage:ROUTE/NUMBER]")
		return nil
	}
	st.Number = n
	for _, after := range st.After {
		k, err := strconv.Atoi(after)
		if err != nil || k < 0 || k >= n {
			p.f.Fail(section, "after", "after = "+after+" is not an earlier stage of the route", "name numbers below "+number)
			return nil
		}
		st.Inputs = append(st.Inputs, k)
	}
	return routeStageRef{section, route, st}
}

type routeStageRef struct {
	section, route string
	stage          *RouteStage
}

func (p *parser) checkRoutes() {
	byName := map[string]int{} // index in p.c.Routes
	routeByKey := map[RouteKey]string{}
	for i, r := range p.c.Routes {
		section := "route:" + r.Name
		byName[r.Name] = i
		key := RouteKey{r.Host, r.Prefix}
		if other, taken := routeByKey[key]; taken {
			p.f.Fail(section, "path_prefix", "route "+r.Name+" has the host and path of route "+other, "change host or path_prefix of one")
		}
		routeByKey[key] = r.Name
		for _, w := range r.Weights {
			p.checkAnnounced(section, "service", w.Service)
		}
	}
	for _, ref := range p.routeStages {
		index, known := byName[ref.route]
		if !known {
			p.f.Fail(ref.section, "", "route "+ref.route+" does not exist", "add [route:"+ref.route+"]")
			continue
		}
		r := p.c.Routes[index]
		if len(r.Stages) == 0 { // the cached value must stay without stages, since ParseIncremental reuses it
			clone := *r
			r = &clone
			p.c.Routes[index] = r
		}
		switch {
		case ref.stage.Number != len(r.Stages):
			p.f.Fail(ref.section, "", "stage "+strconv.Itoa(ref.stage.Number)+" of route "+ref.route+" is out of order", "number stages from 0, in order")
		}
		p.checkAnnounced(ref.section, "service", ref.stage.Service)
		r.Stages = append(r.Stages, ref.stage)
	}
	p.checkKeys()
}

func (p *parser) checkAnnounced(section, key, name string) {
	switch s := p.c.Services[name]; {
	case s == nil:
		p.f.Fail(section, key, "service "+name+" does not exist", "add [service:"+name+"]")
	case s.Upstreams != Announced:
		p.f.Fail(section, key, "service "+name+" has agents beside its upstreams", "use it in a pipeline, or write upstreams = announced in [service:"+name+"]")
	}
}

// checkKeys rejects a key that two customers share.
func (p *parser) checkKeys() {
	owner := map[string]string{}
	for _, name := range p.customers {
		for _, key := range p.c.Customers[name].Keys {
			if other, taken := owner[key]; taken && other != name {
				p.f.Fail("customer:"+name, "keys", "customers "+other+" and "+name+" share a key", "give each customer keys of its own")
			}
			owner[key] = name
		}
	}
}
