package optext

import (
	"strconv"
	"strings"
	"time"
)

// Announced is the value of a service's `upstreams` key for upstreams that
// announce themselves and are called directly, without an agent beside them.
const Announced = "announced"

// Batch is the kind of a service whose upstreams make pieces of stages, many a
// call.
const Batch Kind = "batch"

// Direct is what the text says of a service with announced upstreams.
type Direct struct {
	Upstreams      string `ini:"upstreams" json:"upstreams,omitempty"` // announced, or empty: agents
	HealthPath     string `ini:"health_path" json:"health_path,omitempty"`
	MaxConnections int    `ini:"max_connections" json:"max_connections,omitempty"` // one upstream accepts, from all processes together
	Protocol       string `ini:"protocol" json:"protocol,omitempty"`
	TLS            bool   `ini:"tls" json:"tls,omitempty"`
	// ColdRate is how many calls a second an upstream bears that has just started or come back;
	// zero: any.
	ColdRate float64 `ini:"cold_rate" json:"cold_rate,omitempty"`

	EngineSlots  int   `ini:"engine_slots" json:"engine_slots,omitempty"`   // requests an engine runs at a time
	EngineTokens int64 `ini:"engine_tokens" json:"engine_tokens,omitempty"` // its KV cache, in tokens
	TokenBytes   int64 `ini:"token_bytes" json:"token_bytes,omitempty"`     // of that cache that one token takes; zero: engines do not fetch from each other
	EngineLink   int64 `ini:"engine_link" json:"engine_link,omitempty"`     // bits a second at which an engine sends them to another; zero as above

	Calls      int           `ini:"calls" json:"calls,omitempty"`             // calls that a stage upstream runs at a time
	CallQueue  int           `ini:"call_queue" json:"call_queue,omitempty"`   // calls that may wait there
	Batch      int           `ini:"batch" json:"batch,omitempty"`             // pieces a call
	CallTime   time.Duration `ini:"call_time" json:"call_time,omitempty"`     // of a call, besides its pieces
	PieceTime  time.Duration `ini:"piece_time" json:"piece_time,omitempty"`   // of a piece, about
	ResultRoom int64         `ini:"result_room" json:"result_room,omitempty"` // bytes of results that one upstream keeps
	ResultTTL  time.Duration `ini:"result_ttl" json:"result_ttl,omitempty"`   // for which it keeps them

	// Extension carries what another front end's document says of the service
	// and caperdrum has no use for; it comes back unchanged.
	Extension string `ini:"extension" json:"extension,omitempty"`
}

// Route sends the calls of a host and path to services with announced
// upstreams.
type Route struct {
	Name   string `ini:"-"`
	Host   string `ini:"host" required:"true"`
	Prefix string `ini:"path_prefix" required:"true"` // begins and ends with a slash

	Idempotent bool `ini:"idempotent"` // a call may run more than once
	Streaming  bool `ini:"streaming"`  // the answer is a stream of events
	Resumable  bool `ini:"resumable"`  // a stream may go on at another upstream

	Service string   `ini:"service"`
	Split   []string `ini:"split"` // SERVICE:WEIGHT, instead of Service

	Attempts int           `ini:"attempts"` // upstreams that one call may be sent to
	Timeout  time.Duration `ini:"timeout" required:"true"`
	Goal     time.Duration `ini:"goal"`     // within which an answer is worth most
	MaxGap   time.Duration `ini:"max_gap"`  // between events of a stream that is on time
	Priority int           `ini:"priority"` // 0 is first
	Public   bool          `ini:"public"`   // needs no customer's key
	Affinity bool          `ini:"affinity"` // calls share prompt prefixes

	Regions []string `ini:"regions"` // in which calls may be served, and what is made for them kept; empty: in all

	Extension string `ini:"extension"` // see Direct.Extension

	Weights []Weight      `ini:"-"` // from Service or Split
	Stages  []*RouteStage `ini:"-"` // in the order of their numbers
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Streaming && r.Resumable }

// Weight is a service's part of a route.
type Weight struct {
	Service string
	Weight  float64
}

// RouteStage is work that is done before a call of the route can run.
type RouteStage struct {
	Number      int      `ini:"-"`
	Service     string   `ini:"service" required:"true"`
	After       []string `ini:"after"`        // numbers of the stages whose results it takes
	ResultBytes int64    `ini:"result_bytes"` // of one result, about
	Extension   string   `ini:"extension"`

	Inputs []int `ini:"-"` // After as numbers
}

// Limits bound what a caller may send on routes.
type Limits struct {
	MaxHeaderBytes int64         `ini:"max_header_bytes"`
	MaxBodyBytes   int64         `ini:"max_body_bytes"`
	HeaderTimeout  time.Duration `ini:"header_timeout"`
	IdleTimeout    time.Duration `ini:"idle_timeout"`
	Extension      string        `ini:"extension"`
}

// RouteKey is what two routes may not share.
type RouteKey struct{ Host, Prefix string }

func (p *parser) route(section, name string) *Route {
	r := &Route{Name: name, Attempts: 1}
	p.f.Decode(section, r)
	if r.Prefix != "" && (!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/")) {
		p.f.Fail(section, "path_prefix", "path_prefix "+r.Prefix+" is not a whole path", "begin and end it with a slash")
	}
	if r.Timeout <= 0 {
		p.f.Fail(section, "timeout", "timeout is zero", "write a duration such as 5s")
	}
	p.weights(section, r)
	return r
}

func (p *parser) weights(section string, r *Route) {
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

func (p *parser) routeStage(section, name string) any {
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
	byName := map[string]int{} // place in p.c.Routes
	places := map[RouteKey]string{}
	for i, r := range p.c.Routes {
		section := "route:" + r.Name
		byName[r.Name] = i
		place := RouteKey{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			p.f.Fail(section, "path_prefix", "route "+r.Name+" has the host and path of route "+other, "change host or path_prefix of one")
		}
		places[place] = r.Name
		for _, w := range r.Weights {
			p.announcedService(section, "service", w.Service)
		}
	}
	for _, ref := range p.routeStages {
		at, known := byName[ref.route]
		if !known {
			p.f.Fail(ref.section, "", "route "+ref.route+" does not exist", "add [route:"+ref.route+"]")
			continue
		}
		r := p.c.Routes[at]
		if len(r.Stages) == 0 { // the section's own stays without stages
			own := *r
			r = &own
			p.c.Routes[at] = r
		}
		switch {
		case ref.stage.Number != len(r.Stages):
			p.f.Fail(ref.section, "", "stage "+strconv.Itoa(ref.stage.Number)+" of route "+ref.route+" is out of order", "number stages from 0, in order")
		}
		p.announcedService(ref.section, "service", ref.stage.Service)
		r.Stages = append(r.Stages, ref.stage)
	}
	p.checkKeys()
}

func (p *parser) announcedService(section, key, name string) {
	switch s := p.c.Services[name]; {
	case s == nil:
		p.f.Fail(section, key, "service "+name+" does not exist", "add [service:"+name+"]")
	case s.Upstreams != Announced:
		p.f.Fail(section, key, "service "+name+" has agents beside its upstreams", "use it in a pipeline, or write upstreams = announced in [service:"+name+"]")
	}
}

// checkKeys refuses a key that two customers share.
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
