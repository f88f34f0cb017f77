// Package optext parses the operators' configuration: the INI document that configures data
// centres, services, pipelines, routes and customers. Parse returns either a complete,
// valid configuration or every error, each with its line and a remedy.
package optext

import "time"

// Kind is the type of the upstreams of a service.
type Kind string

// Kinds of services. See also Batch.
const (
	Engine    Kind = "engine"
	Encoder   Kind = "encoder"
	Retriever Kind = "retriever"
	Reranker  Kind = "reranker"
	Plain     Kind = "plain"
)

// Class is the priority class of a request under overload.
type Class string

// Classes, most urgent first.
const (
	Confirmation Class = "confirmation"
	Interactive  Class = "interactive"
	Deferrable   Class = "deferrable"
)

// DataCenter is a failure domain; latency between data centres differs.
type DataCenter struct {
	Name   string `ini:"-" json:"name"`
	Region string `ini:"region" json:"region"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name            string `ini:"-" json:"name"`
	Kind            string `ini:"kind" required:"true" json:"kind"`
	Repeatable      bool   `ini:"repeatable" json:"repeatable"`         // calls are idempotent and safe to run twice
	HonorsFencing   bool   `ini:"honors_fencing" json:"honors_fencing"` // upstreams themselves reject orders with an outdated fencing token
	Concurrency     int    `ini:"concurrency" json:"concurrency"`       // maximum number of concurrent calls per upstream
	QueueLength     int    `ini:"queue_length" json:"queue_length"`     // maximum number of attempts queued at one gate
	RoutingPolicy   string `ini:"routing" json:"routing"`               // one of RoutingPolicies
	HedgePercent    int    `ini:"hedge_percent" json:"hedge_percent"`   // budget of hedged attempts, percent of requests; 0 disables hedging
	RetryPercent    int    `ini:"retry_percent" json:"retry_percent"`   // budget of retries, percent of requests
	QueueDiscipline string `ini:"queue" json:"queue"`                   // fair or fifo
	Subset          int    `ini:"subset" json:"subset"`                 // number of upstreams that one entry uses; 0 means all
	Shed            bool   `ini:"shed" json:"shed"`                     // while gates refuse for lack of capacity, entries admit only slightly more than the gates accept
	Limiter         string `ini:"limiter" json:"limiter"`               // concurrency limiter of the gate: fixed, or climb with concurrency as the maximum
	Ejection        bool   `ini:"ejection" json:"ejection"`             // exclude upstreams that fail or are much slower than the others

	Models      string        `ini:"models" json:"models,omitempty"`             // models that warm upstreams hold, as MODEL@VERSION or MODEL@VERSION/ADAPTER
	EngineRole  string        `ini:"engine_role" json:"engine_role,omitempty"`   // role assigned to the engines
	Scale       string        `ini:"scale" json:"scale,omitempty"`               // off, threshold or forecast
	MinWarm     int           `ini:"min_warm" json:"min_warm,omitempty"`         // minimum number of upstreams that stay loaded
	IdleAfter   time.Duration `ini:"idle_after" json:"idle_after,omitempty"`     // how long demand must stay lower before an unload
	WakeLead    time.Duration `ini:"wake_lead" json:"wake_lead,omitempty"`       // how far ahead of a forecast rise loading starts
	LoadTimeout time.Duration `ini:"load_timeout" json:"load_timeout,omitempty"` // a load that takes longer counts as failed
	WeightBytes int64         `ini:"weight_bytes" json:"weight_bytes,omitempty"` // bytes that one load reads from the weight store

	Direct
}

// Pipeline is a directed acyclic graph of stages that share one deadline.
type Pipeline struct {
	Name       string        `ini:"-" json:"name"`
	Deadline   time.Duration `ini:"deadline" required:"true" json:"deadline"`
	Class      string        `ini:"class" json:"class"`
	Model      string        `ini:"model" json:"model"` // model name that selects this pipeline at the chat endpoint
	RefuseLate bool          `ini:"refuse_late" json:"refuse_late"`
	// ShedOrder is the order in which pipelines are shed under overload, lowest first. 0
	// selects the default of the class (deferrable 1, interactive 2, confirmation never);
	// -1 means never.
	ShedOrder int      `ini:"shed_order" json:"shed_order"`
	Stages    []*Stage `ini:"-" json:"stages"` // in topological order
}

// Stage is one call of a pipeline.
type Stage struct {
	Name    string   `ini:"-" json:"name"`
	Service string   `ini:"service" required:"true" json:"service"`
	After   []string `ini:"after" json:"after"`
}

// Customer is a caller that is entitled to a share of the capacity.
type Customer struct {
	Name  string  `ini:"-" json:"name"`
	Share float64 `ini:"share" json:"share"` // weight in fair queues
	Rate  float64 `ini:"rate" json:"rate"`   // requests per second over all entries; 0 means no limit

	Regions   []string `ini:"regions" json:"regions,omitempty"` // see Route.Regions
	Keys      []string `ini:"keys" json:"-"`                    // bearer keys for calls on routes
	Priority  int      `ini:"priority" json:"-"`                // overrides the route's priority, unless it is NoPriority
	Extension string   `ini:"extension" json:"-"`               // see Direct.Extension
}

// NoPriority is the Priority of a customer that does not override the route's.
const NoPriority = 1 << 30

// Config is a complete, valid configuration.
type Config struct {
	DataCenters map[string]*DataCenter
	Services    map[string]*Service
	Pipelines   map[string]*Pipeline
	Customers   map[string]*Customer
	WeightStore *WeightStore // nil when the text has none
	Routes      []*Route     // in the order of the text
	Limits      Limits       // for callers on routes

	// KeysRequired says that calls on routes that are not public need a key of a customer. It does not depend
	// on whether any customer has one: without keys no such call is admitted.
	KeysRequired bool

	// Extension carries document-level fields of another front end that
	// caperdrum does not use.
	Extension string

	models       map[string]*Pipeline
	sectionCache map[string]cachedSection // by section name; nil if splitSections cannot split the text
}

// ByModel returns the pipeline that the model name selects at the chat endpoint, or nil.
func (c *Config) ByModel(model string) *Pipeline { return c.models[model] }

const (
	defaultConcurrency  = 8
	defaultQueueLength  = 64
	defaultHedgePercent = 3
	defaultRetryPercent = 10
)

// RoutingPolicies are the valid values of a service's routing key. The first is the default.
var RoutingPolicies = []string{"predicted", "round-robin", "random", "least-in-flight"}
