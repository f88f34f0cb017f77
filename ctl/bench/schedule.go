package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"caperdrum.org/fake/standin"
)

// Request is one request of a schedule, with the answer that it must get.
type Request struct {
	At       time.Duration // intended start, from the start of the run
	ID       string
	Flow     *Flow
	Customer Customer
	Warm     bool // before the time that counts
	Path     string
	Key      string
	Body     []byte
	Stream   bool
	Expect   string // text or confirmation
	Prompt   string // that the engine sees; empty without one
	Answer   string // what the engine appends to it
	Fits     bool   // within the capacity, see markFitting

	queryBytes int
}

// Plan is what a schedule is made from.
type Plan struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Tag        string             // starts every request id; differs for every run, since keys may be used once
	Rates      map[string]float64 // of each flow at load 1, per second
}

// Schedule returns the requests in the order of their start. The same plan
// always gives the same schedule.
func (p Plan) Schedule() []*Request {
	var out []*Request
	for i := range p.Deployment.Flows {
		out = append(out, p.flow(uint64(i), &p.Deployment.Flows[i])...)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

func (p Plan) flow(index uint64, f *Flow) []*Request {
	random := rand.New(rand.NewPCG(p.Seed, index))
	var out []*Request
	for _, c := range p.Deployment.Customers {
		for _, at := range poisson(random, p.profile(c), p.Rates[f.Name]) {
			out = append(out, &Request{At: at, Flow: f, Customer: c, Warm: at < p.Scenario.Warm})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	chats := &sessions{random: random, heavy: p.Scenario.ChatHeavy}
	for n, r := range out {
		r.ID = fmt.Sprintf("%s-%s-%d", p.Tag, f.Name, n)
		r.fill(random, chats)
	}
	return out
}

// profile is one customer's part of the load.
func (p Plan) profile(c Customer) []Segment {
	small, large := 0, 0
	for _, o := range p.Deployment.Customers {
		if o.Large {
			large++
		} else {
			small++
		}
	}
	flooder := p.Scenario.Flood > 0 && c == p.Deployment.Customers[0]
	out := make([]Segment, len(p.Scenario.Profile))
	for i, s := range p.Scenario.Profile {
		each := smallPart * min(s.Load, 1)
		load := each
		if c.Large {
			load = (s.Load - each*float64(small)) / float64(large)
		}
		if flooder {
			load = p.Scenario.Flood
		}
		out[i] = Segment{s.Duration, load}
	}
	if p.Scenario.OnOff > 0 && len(p.Deployment.Customers) > 1 && c == p.Deployment.Customers[1] {
		return onOff(out, p.Scenario.OnOff)
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

func (r *Request) fill(random *rand.Rand, chats *sessions) {
	f := r.Flow
	query := words(random, size(random, f))
	r.queryBytes = len(query)
	switch f.Call {
	case CallPipeline:
		query = r.ID + " " + query
		r.Path, r.Stream = "/v1/pipelines/"+f.Target, true
		r.Body = encode(pipelineBody{query, true})
		r.Prompt = standin.GroundedPrompt(query, f.Documents, f.Reranked)
		r.Expect = standin.Text(r.Prompt, f.Tokens)
		r.Answer = "assistant:" + r.Expect
	case CallChat:
		chats.fill(r, query)
	case CallKeyed:
		r.Path, r.Key = "/v1/services/"+f.Target+"/confirm", r.ID
		r.Body = encode(serviceBody{r.ID, query})
		r.Expect = standin.Confirmation(string(r.Body))
	default:
		r.Path = "/v1/services/" + f.Target + "/lookup"
		r.Body = encode(serviceBody{r.ID, query})
		r.Expect = standin.Confirmation(string(r.Body))
	}
}

func encode(v any) []byte {
	data, _ := json.Marshal(v) // the types of this package always encode
	return data
}

// sessions are the chats under way. The answers are known beforehand, so the
// turns can be too.
type sessions struct {
	random *rand.Rand
	heavy  bool
	open   []*session
	shared map[string]string // a customer's system prompt
}

type session struct {
	customer string
	last     time.Duration
	turns    int
	messages []standin.ChatMessage
}

const (
	thinkTime     = 2500 * time.Millisecond // between a chat's turns, at least
	maxTurns      = 6
	continueShare = 0.7
	sharedBytes   = 600
	heavyBytes    = 4000
)

func (s *sessions) fill(r *Request, query string) {
	c := s.pick(r)
	c.last = r.At
	c.turns++
	c.messages = append(c.messages, standin.ChatMessage{Role: "user", Content: r.ID + " " + query})
	req := standin.ChatRequest{Model: r.Flow.Target, Messages: c.messages, Stream: true, MaxTokens: r.Flow.Tokens}
	r.Path, r.Stream = "/v1/chat/completions", true
	r.Body = encode(req)
	r.Prompt = req.Prompt()
	r.Expect = standin.Text(r.Prompt, r.Flow.Tokens)
	r.Answer = "assistant:" + r.Expect
	c.messages = append(c.messages[:len(c.messages):len(c.messages)], standin.ChatMessage{Role: "assistant", Content: r.Expect})
}

// pick continues one of the customer's chats or begins a new one.
func (s *sessions) pick(r *Request) *session {
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
	c := &session{customer: r.Customer.Name, messages: []standin.ChatMessage{{Role: "system", Content: s.systemPrompt(r.Customer.Name)}}}
	s.open = append(s.open, c)
	return c
}

func (s *sessions) systemPrompt(customer string) string {
	if s.shared == nil {
		s.shared = map[string]string{}
	}
	if s.shared[customer] == "" {
		n := sharedBytes
		if s.heavy {
			n = heavyBytes
		}
		s.shared[customer] = words(s.random, n)
	}
	return s.shared[customer]
}
