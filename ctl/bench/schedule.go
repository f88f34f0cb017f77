package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"caperdrum.org/fake/standin"
)

// Request is a scheduled request with its expected response.
type Request struct {
	At           time.Duration // intended start, relative to the start of the run
	ID           string
	Flow         *Flow
	Customer     Customer
	Warmup       bool // part of the warm-up
	Path         string
	Key          string
	Body         []byte
	Stream       bool
	Expected     string // expected text or confirmation
	Prompt       string // prompt that the engine receives; empty if no engine is used
	Answer       string // what the engine appends to the prompt
	FitsCapacity bool   // within capacity, see markFitting

	queryBytes int
}

// Plan determines a schedule.
type Plan struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Tag        string             // prefix of every request ID; unique per run, since idempotency keys must not be reused
	Rates      map[string]float64 // rate of each flow at load 1, per second
}

// Schedule returns the requests in start order. It is deterministic.
func (p Plan) Schedule() []*Request {
	var out []*Request
	for i := range p.Deployment.Flows {
		out = append(out, p.scheduleFlow(uint64(i), &p.Deployment.Flows[i])...)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

func (p Plan) scheduleFlow(index uint64, f *Flow) []*Request {
	random := rand.New(rand.NewPCG(p.Seed, index))
	var out []*Request
	for _, c := range p.Deployment.Customers {
		for _, at := range poissonArrivals(random, p.profile(c), p.Rates[f.Name]) {
			out = append(out, &Request{At: at, Flow: f, Customer: c, Warmup: at < p.Scenario.Warmup})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	chats := &chatSessions{random: random, longPrompts: p.Scenario.LongPrompts}
	for n, r := range out {
		r.ID = fmt.Sprintf("%s-%s-%d", p.Tag, f.Name, n)
		r.fill(random, chats)
	}
	return out
}

// profile returns the load profile of one customer.
func (p Plan) profile(c Customer) []Segment {
	small, large := 0, 0
	for _, o := range p.Deployment.Customers {
		if o.Large {
			large++
		} else {
			small++
		}
	}
	flooder := p.Scenario.FloodLoad > 0 && c == p.Deployment.Customers[0]
	out := make([]Segment, len(p.Scenario.Profile))
	for i, s := range p.Scenario.Profile {
		each := smallCustomerShare * min(s.Load, 1)
		load := each
		if c.Large {
			load = (s.Load - each*float64(small)) / float64(large)
		}
		if flooder {
			load = p.Scenario.FloodLoad
		}
		out[i] = Segment{s.Duration, load}
	}
	if p.Scenario.OnOff > 0 && len(p.Deployment.Customers) > 1 && c == p.Deployment.Customers[1] {
		return onOffProfile(out, p.Scenario.OnOff)
	}
	return out
}

type pipelineBody struct {
	Query  string `json:"query"`
	Stream bool   `json:"stream"`
}

type serviceBody struct {
	ID   string `json:"id"`
	Note string `json:"note"`
}

func (r *Request) fill(random *rand.Rand, chats *chatSessions) {
	f := r.Flow
	query := randomText(random, querySize(random, f))
	r.queryBytes = len(query)
	switch f.Call {
	case CallPipeline:
		query = r.ID + " " + query
		r.Path, r.Stream = "/v1/pipelines/"+f.Target, true
		r.Body = encode(pipelineBody{query, true})
		r.Prompt = standin.GroundedPrompt(query, f.Documents, f.Reranked)
		r.Expected = standin.Text(r.Prompt, f.Tokens)
		r.Answer = "assistant:" + r.Expected
	case CallChat:
		chats.fill(r, query)
	case CallKeyed:
		r.Path, r.Key = "/v1/services/"+f.Target+"/confirm", r.ID
		r.Body = encode(serviceBody{r.ID, query})
		r.Expected = standin.Confirmation(string(r.Body))
	default:
		r.Path = "/v1/services/" + f.Target + "/lookup"
		r.Body = encode(serviceBody{r.ID, query})
		r.Expected = standin.Confirmation(string(r.Body))
	}
}

func encode(v any) []byte {
	data, _ := json.Marshal(v) // the types of this package can always be encoded
	return data
}

// chatSessions are the open chats. The responses are known in advance, and so are the messages of later
// turns.
type chatSessions struct {
	random        *rand.Rand
	longPrompts   bool
	open          []*chatSession
	systemPrompts map[string]string // system prompts by customer
}

type chatSession struct {
	customer string
	last     time.Duration
	turns    int
	messages []standin.ChatMessage
}

const (
	thinkTime         = 2500 * time.Millisecond // minimum time between the turns of a chat
	maxTurns          = 6
	continueShare     = 0.7
	systemPromptBytes = 600
	longPromptBytes   = 4000
)

func (s *chatSessions) fill(r *Request, query string) {
	c := s.pick(r)
	c.last = r.At
	c.turns++
	c.messages = append(c.messages, standin.ChatMessage{Role: "user", Content: r.ID + " " + query})
	req := standin.ChatRequest{Model: r.Flow.Target, Messages: c.messages, Stream: true, MaxTokens: r.Flow.Tokens}
	r.Path, r.Stream = "/v1/chat/completions", true
	r.Body = encode(req)
	r.Prompt = req.Prompt()
	r.Expected = standin.Text(r.Prompt, r.Flow.Tokens)
	r.Answer = "assistant:" + r.Expected
	c.messages = append(c.messages[:len(c.messages):len(c.messages)], standin.ChatMessage{Role: "assistant", Content: r.Expected})
}

// pick continues one of the customer's chats or starts a new one.
func (s *chatSessions) pick(r *Request) *chatSession {
	if s.random.Float64() < continueShare {
		for i, c := range s.open {
			if c.customer != r.Customer.Name || r.At-c.last < thinkTime {
				continue
			}
			if c.turns+1 >= maxTurns {
				s.open = append(s.open[:i], s.open[i+1:]...)
			}
			return c
		}
	}
	c := &chatSession{customer: r.Customer.Name, messages: []standin.ChatMessage{{Role: "system", Content: s.systemPrompt(r.Customer.Name)}}}
	s.open = append(s.open, c)
	return c
}

func (s *chatSessions) systemPrompt(customer string) string {
	if s.systemPrompts == nil {
		s.systemPrompts = map[string]string{}
	}
	if s.systemPrompts[customer] == "" {
		n := systemPromptBytes
		if s.longPrompts {
			n = longPromptBytes
		}
		s.systemPrompts[customer] = randomText(s.random, n)
	}
	return s.systemPrompts[customer]
}
