// Package bench measures a running system under load and faults: an open-loop
// generator, the scenarios, the check of every answer against what the
// stand-ins ran, and the reports.
package bench

import (
	"fmt"
	"math"
	"time"

	"caperdrum.org/fake/standin"
)

// Pool is the set of stand-ins behind one service.
type Pool struct {
	Service string
	Count   int
	Slots   int // calls that one stand-in runs at a time; the service's concurrency
	Options standin.Options
}

// Deployment is a size and mix of load at which scenarios run.
type Deployment struct {
	Name        string
	DataCenters []string
	Entries     int
	Controls    int
	Pools       []Pool
	Flows       []Flow
	Customers   []Customer
}

// Customer is a caller with its part of the load.
type Customer struct {
	Name  string
	Large bool // takes what the small ones leave
}

// smallPart is what one small customer offers of a flow's capacity. It is
// under its share in either deployment's text, at any load.
const smallPart = 0.04

// Call is the way a flow reaches the system.
type Call int

// Ways of calling.
const (
	CallPipeline Call = iota // POST /v1/pipelines/TARGET
	CallChat                 // POST /v1/chat/completions with model TARGET, multi-turn
	CallKeyed                // POST /v1/services/TARGET/confirm with an idempotency key
	CallPlain                // POST /v1/services/TARGET/lookup
)

// Flow is one kind of request.
type Flow struct {
	Name     string
	Call     Call
	Target   string
	Deadline time.Duration
	Home     string   // service whose capacity sets the flow's rate
	Part     float64  // of the home service's capacity at load 1
	Services []string // all that it uses
	Tokens   int      // of its answer; pipelines use the engines' own number
	Median   int      // bytes of the query
	Sigma    float64  // of the log-normal size of the query: heavy tails
	Max      int      // bytes of the query

	Documents int  // in the prompt of a pipeline's generate stage
	Reranked  bool // in turned order
}

const (
	engineSlots  = 8
	engineTokens = 24
	poolSigma    = 0.3
	llm          = "llm"
)

func engines(n int) Pool {
	return Pool{Service: llm, Count: n, Slots: engineSlots, Options: standin.Options{
		Kind: standin.KindEngine, Delay: 2 * time.Millisecond, TokenDelay: 20 * time.Millisecond, SequenceDelay: time.Millisecond,
		PrefillDelay: 50 * time.Microsecond, Tokens: engineTokens, MaxBatch: engineSlots, CacheBlocks: 1500,
		LoadLag: 200 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLoss: 0.05, TransferDelay: 100 * time.Microsecond,
	}}
}

func others(service, kind string, n, slots int, median, perKilobyte time.Duration) Pool {
	return Pool{Service: service, Count: n, Slots: slots, Options: standin.Options{
		Kind: kind, Concurrency: slots, Delay: median, Sigma: poolSigma, PerKilobyte: perKilobyte}}
}

// Argyris is the deployment of Argyris at today's size: 20 engines, an order
// desk of 4, 15 plain services, and the pools before the engines.
func Argyris() Deployment {
	ms := time.Millisecond
	return Deployment{
		Name: "argyris", DataCenters: []string{"aspropyrgos", "elefsina", "marousi", "koropi"}, Entries: 3, Controls: 3,
		Pools: []Pool{
			engines(20),
			others("encoder", standin.KindEncoder, 3, 4, 60*ms, 100*ms),
			others("retriever", standin.KindRetriever, 3, 4, 110*ms, 0),
			others("reranker", standin.KindReranker, 2, 4, 80*ms, 0),
			others("order-desk", standin.KindPlain, 4, 2, 80*ms, 0),
			others("batch-traceability", standin.KindPlain, 5, 1, 100*ms, 0),
			others("certificate-archive", standin.KindPlain, 5, 1, 100*ms, 0),
			others("price-list", standin.KindPlain, 5, 1, 100*ms, 0),
		},
		Flows: []Flow{
			{Name: "quote", Call: CallPipeline, Target: "quote", Deadline: 3 * time.Second, Home: llm, Part: 0.4, Tokens: engineTokens,
				Services: []string{"encoder", "retriever", "reranker", llm}, Median: 150, Sigma: 1, Max: 3000, Documents: standin.DefaultDocuments, Reranked: true},
			{Name: "chat", Call: CallChat, Target: "buyer-chat", Deadline: 2 * time.Second, Home: llm, Part: 0.4, Tokens: engineTokens,
				Services: []string{llm}, Median: 80, Sigma: 0.5, Max: 400},
			{Name: "certificate", Call: CallPipeline, Target: "certificate-check", Deadline: 5 * time.Second, Home: llm, Part: 0.2, Tokens: engineTokens,
				Services: []string{"encoder", llm}, Median: 400, Sigma: 1, Max: 6000},
			keyed("confirm", "order-desk", time.Second),
			plain("batch-traceability"), plain("certificate-archive"), plain("price-list"),
		},
		Customers: []Customer{{"foundry-east", true}, {"foundry-west", true}, {"additive-shop", false}, {"sintering-plant", false}, {"walk-in", false}},
	}
}

// Blomsterhallen is the deployment of Blomsterhallen at today's size: 12
// engines, a clock of 3, 15 plain services, and the pools before the engines.
func Blomsterhallen() Deployment {
	ms := time.Millisecond
	return Deployment{
		Name: "blomsterhallen", DataCenters: []string{"koege", "roskilde", "ringsted"}, Entries: 3, Controls: 3,
		Pools: []Pool{
			engines(12),
			others("encoder", standin.KindEncoder, 2, 4, 100*ms, 100*ms),
			others("retriever", standin.KindRetriever, 2, 4, 130*ms, 0),
			others("clock-bidding", standin.KindPlain, 3, 4, 60*ms, 0),
			others("grower-ledger", standin.KindPlain, 5, 1, 100*ms, 0),
			others("trolley-logistics", standin.KindPlain, 5, 1, 100*ms, 0),
			others("buyer-portal", standin.KindPlain, 5, 1, 100*ms, 0),
		},
		Flows: []Flow{
			{Name: "dispute", Call: CallChat, Target: "dispute-reply", Deadline: 2 * time.Second, Home: llm, Part: 0.3, Tokens: engineTokens,
				Services: []string{llm}, Median: 120, Sigma: 0.5, Max: 500},
			{Name: "quality", Call: CallPipeline, Target: "quality-summary", Deadline: 5 * time.Second, Home: llm, Part: 0.4, Tokens: engineTokens,
				Services: []string{"encoder", "retriever", llm}, Median: 150, Sigma: 1, Max: 3000, Documents: standin.DefaultDocuments},
			{Name: "lot", Call: CallPipeline, Target: "lot-description", Deadline: 5 * time.Second, Home: llm, Part: 0.3, Tokens: engineTokens,
				Services: []string{llm}, Median: 300, Sigma: 1, Max: 3000},
			keyed("bid", "clock-bidding", 600*ms),
			plain("grower-ledger"), plain("trolley-logistics"), plain("buyer-portal"),
		},
		Customers: []Customer{{"wholesale-funen", true}, {"wholesale-zealand", true}, {"florist-a", false}, {"florist-b", false}, {"grower-pool", false}},
	}
}

const plainPart = 0.85 // a pool with random service times is full before 1

func keyed(name, service string, deadline time.Duration) Flow {
	return Flow{Name: name, Call: CallKeyed, Target: service, Deadline: deadline, Home: service, Part: plainPart, Services: []string{service}, Median: 40, Max: 80}
}

func plain(service string) Flow {
	return Flow{Name: service, Call: CallPlain, Target: service, Deadline: time.Second, Home: service, Part: plainPart, Services: []string{service}, Median: 40, Max: 80}
}

// ByName returns the named deployment.
func ByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Argyris(), Blomsterhallen()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q is not known: use argyris or blomsterhallen", name)
}

// Pool returns the pool of a service.
func (d Deployment) Pool(service string) Pool {
	for _, p := range d.Pools {
		if p.Service == service {
			return p
		}
	}
	return Pool{}
}

// Members returns the names of a pool's stand-ins.
func (p Pool) Members() []string {
	out := make([]string, p.Count)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", p.Service, i+1)
	}
	return out
}

// work returns the part of one upstream's second that a call takes: for an
// engine, at a full batch, with cached prompt tokens left out.
func (p Pool) work(queryBytes, promptTokens, tokens int) float64 {
	o := p.Options
	if o.Kind == standin.KindEngine {
		step := o.TokenDelay + time.Duration(o.MaxBatch)*o.SequenceDelay
		prefill := time.Duration(promptTokens) * o.PrefillDelay
		return (float64(tokens)*step.Seconds())/float64(o.MaxBatch) + prefill.Seconds()
	}
	median := o.Delay.Seconds() + o.PerKilobyte.Seconds()*float64(queryBytes)/1000
	return median * math.Exp(o.Sigma*o.Sigma/2) / float64(p.Slots)
}
