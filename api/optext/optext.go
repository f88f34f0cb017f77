// Package optext is the operators' text: the one INI document that lists data
// centres, services, pipelines and customers. Parse accepts a whole, valid
// text or returns every fault with its line and a remedy.
package optext

import "time"

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

	Regions   []string `ini:"regions" json:"regions,omitempty"` // as a route's
	Keys      []string `ini:"keys" json:"-"`                    // bearer keys of calls on routes
	Priority  int      `ini:"priority" json:"-"`                // goes before a route's; NoPriority leaves that
	Extension string   `ini:"extension" json:"-"`               // see Direct.Extension
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
