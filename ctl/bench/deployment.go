// Package bench measures a running system under load and faults. It contains an open-loop load generator, the
// scenarios, a check of every response against what the stand-ins ran, and reports.
package bench

import (
	"fmt"
	"math"
	"time"

	"caperdrum.org/fake/standin"
)

// Pool is the set of stand-ins of one service.
type Pool struct {
	Service string
	Count   int
	Slots   int // concurrent calls per stand-in; becomes the concurrency of the service
	Options standin.Options
}

// Deployment is a system size and a load mix to run scenarios with.
type Deployment struct {
	Name        string
	DataCenters []string
	Entries     int
	Controls    int
	Pools       []Pool
	Flows       []Flow
	Customers   []Customer
}

// Customer is a source of load.
type Customer struct {
	Name  string
	Large bool // large customers share the load that the small ones leave
}

// smallCustomerShare is the load that one small customer offers of a flow's capacity. It is below the share
// in the configuration of either deployment, at any load.
const smallCustomerShare = 0.04

// Call is the API that a flow uses.
type Call int

// APIs.
const (
	CallPipeline Call = iota // POST /v1/pipelines/TARGET
	CallChat                 // POST /v1/chat/completions with model TARGET, multi-turn
	CallKeyed                // POST /v1/services/TARGET/confirm with an idempotency key
	CallPlain                // POST /v1/services/TARGET/lookup
)

// Flow is a type of request with its rate and sizes.
type Flow struct {
	Name          string
	Call          Call
	Target        string
	Deadline      time.Duration
	Home          string   // service whose capacity determines the flow's rate
	CapacityShare float64  // share of the home service's capacity at load 1
	Services      []string // all services that a request uses, in order
	Tokens        int      // tokens of the response; pipelines use the default of the engines
	Median        int      // median query size, bytes
	Sigma         float64  // sigma of the log-normal query size (heavy-tailed)
	Max           int      // maximum query size, bytes

	Documents int  // number of documents in the prompt of a pipeline's generate stage
	Reranked  bool // whether a reranker reverses the order of the documents
}

const (
	engineSlots   = 8
	engineTokens  = 24
	poolSigma     = 0.3
	engineService = "llm"
)

func enginePool(n int) Pool {
	return Pool{Service: engineService, Count: n, Slots: engineSlots, Options: standin.Options{
		Kind: standin.KindEngine, Delay: 2 * time.Millisecond, TokenDelay: 20 * time.Millisecond, SequenceDelay: time.Millisecond,
		PrefillDelay: 50 * time.Microsecond, Tokens: engineTokens, MaxBatch: engineSlots, CacheBlocks: 1500,
		LoadLag: 200 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLoss: 0.05, TransferDelay: 100 * time.Microsecond,
	}}
}

func servicePool(service, kind string, n, slots int, median, perKilobyte time.Duration) Pool {
	return Pool{Service: service, Count: n, Slots: slots, Options: standin.Options{
		Kind: kind, Concurrency: slots, Delay: median, Sigma: poolSigma, PerKilobyte: perKilobyte}}
}

// Argyris is the current deployment of Argyris: 20 engines, an order desk of 4 upstreams, 15 upstreams of
// plain services, and the pools of the stages before the engines.
func Argyris() Deployment {
	ms := time.Millisecond
	return Deployment{
		Name: "argyris", DataCenters: []string{"aspropyrgos", "elefsina", "marousi", "koropi"}, Entries: 3, Controls: 3,
		Pools: []Pool{
			enginePool(20),
			servicePool("encoder", standin.KindEncoder, 3, 4, 60*ms, 100*ms),
			servicePool("retriever", standin.KindRetriever, 3, 4, 110*ms, 0),
			servicePool("reranker", standin.KindReranker, 2, 4, 80*ms, 0),
			servicePool("order-desk", standin.KindPlain, 4, 2, 80*ms, 0),
			servicePool("batch-traceability", standin.KindPlain, 5, 1, 100*ms, 0),
			servicePool("certificate-archive", standin.KindPlain, 5, 1, 100*ms, 0),
			servicePool("price-list", standin.KindPlain, 5, 1, 100*ms, 0),
		},
		Flows: []Flow{
			{Name: "quote", Call: CallPipeline, Target: "quote", Deadline: 3 * time.Second, Home: engineService, CapacityShare: 0.4, Tokens: engineTokens,
				Services: []string{"encoder", "retriever", "reranker", engineService}, Median: 150, Sigma: 1, Max: 3000, Documents: standin.DefaultDocuments, Reranked: true},
			{Name: "chat", Call: CallChat, Target: "buyer-chat", Deadline: 2 * time.Second, Home: engineService, CapacityShare: 0.4, Tokens: engineTokens,
				Services: []string{engineService}, Median: 80, Sigma: 0.5, Max: 400},
			{Name: "certificate", Call: CallPipeline, Target: "certificate-check", Deadline: 5 * time.Second, Home: engineService, CapacityShare: 0.2, Tokens: engineTokens,
				Services: []string{"encoder", engineService}, Median: 400, Sigma: 1, Max: 6000},
			keyedServiceFlow("confirm", "order-desk", time.Second),
			plainServiceFlow("batch-traceability"), plainServiceFlow("certificate-archive"), plainServiceFlow("price-list"),
		},
		Customers: []Customer{{"foundry-east", true}, {"foundry-west", true}, {"additive-shop", false}, {"sintering-plant", false}, {"walk-in", false}},
	}
}

// Blomsterhallen is the current deployment of Blomsterhallen: 12 engines, an auction clock of 3 upstreams, 15
// upstreams of plain services, and the pools of the stages before the engines.
func Blomsterhallen() Deployment {
	ms := time.Millisecond
	return Deployment{
		Name: "blomsterhallen", DataCenters: []string{"koege", "roskilde", "ringsted"}, Entries: 3, Controls: 3,
		Pools: []Pool{
			enginePool(12),
			servicePool("encoder", standin.KindEncoder, 2, 4, 100*ms, 100*ms),
			servicePool("retriever", standin.KindRetriever, 2, 4, 130*ms, 0),
			servicePool("clock-bidding", standin.KindPlain, 3, 4, 60*ms, 0),
			servicePool("grower-ledger", standin.KindPlain, 5, 1, 100*ms, 0),
			servicePool("trolley-logistics", standin.KindPlain, 5, 1, 100*ms, 0),
			servicePool("buyer-portal", standin.KindPlain, 5, 1, 100*ms, 0),
		},
		Flows: []Flow{
			{Name: "dispute", Call: CallChat, Target: "dispute-reply", Deadline: 2 * time.Second, Home: engineService, CapacityShare: 0.3, Tokens: engineTokens,
				Services: []string{engineService}, Median: 120, Sigma: 0.5, Max: 500},
			{Name: "quality", Call: CallPipeline, Target: "quality-summary", Deadline: 5 * time.Second, Home: engineService, CapacityShare: 0.4, Tokens: engineTokens,
				Services: []string{"encoder", "retriever", engineService}, Median: 150, Sigma: 1, Max: 3000, Documents: standin.DefaultDocuments},
			{Name: "lot", Call: CallPipeline, Target: "lot-description", Deadline: 5 * time.Second, Home: engineService, CapacityShare: 0.3, Tokens: engineTokens,
				Services: []string{engineService}, Median: 300, Sigma: 1, Max: 3000},
			keyedServiceFlow("bid", "clock-bidding", 600*ms),
			plainServiceFlow("grower-ledger"), plainServiceFlow("trolley-logistics"), plainServiceFlow("buyer-portal"),
		},
		Customers: []Customer{{"wholesale-funen", true}, {"wholesale-zealand", true}, {"florist-a", false}, {"florist-b", false}, {"grower-pool", false}},
	}
}

const maxPlainUtilization = 0.85 // random service times saturate a pool below a utilization of 1

func keyedServiceFlow(name, service string, deadline time.Duration) Flow {
	return Flow{Name: name, Call: CallKeyed, Target: service, Deadline: deadline, Home: service, CapacityShare: maxPlainUtilization, Services: []string{service}, Median: 40, Max: 80}
}

func plainServiceFlow(service string) Flow {
	return Flow{Name: service, Call: CallPlain, Target: service, Deadline: time.Second, Home: service, CapacityShare: maxPlainUtilization, Services: []string{service}, Median: 40, Max: 80}
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

// Members returns the names of the stand-ins of a pool.
func (p Pool) Members() []string {
	out := make([]string, p.Count)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", p.Service, i+1)
	}
	return out
}

// work returns the work of a call in seconds of one upstream. For an engine it assumes a full batch;
// promptTokens must not include cached tokens.
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
