package harness

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"caperdrum.org/fake/standin"
)

// Runs counts how often each confirmation ran, over all upstreams of the desk.
type Runs struct {
	mu     sync.Mutex
	bodies map[string]int
	total  int
}

func (r *Runs) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies[body]++
	r.total++
}

// Count returns how often a request body ran.
func (r *Runs) Count(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[body]
}

// Total returns the number of all runs.
func (r *Runs) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Upstream is a stand-in upstream in the test's process.
type Upstream struct {
	Address string

	mu    sync.Mutex
	delay time.Duration
	began chan string
	work  int
}

// SetDelay delays every answer by d and returns a channel that receives the body of each call when it begins.
func (u *Upstream) SetDelay(d time.Duration) <-chan string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay, u.began = d, make(chan string, 4096)
	return u.began
}

// Calls returns the number of calls so far, without health checks.
func (u *Upstream) Calls() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.work
}

func (u *Upstream) begin(body string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work++
	if u.began != nil {
		u.began <- body
	}
	return u.delay
}

// Tokens is the number of tokens in an engine's answers.
const Tokens = 8

const standinDelay = 2 * time.Millisecond

var kinds = map[string]string{Desk: "plain", "llm": "engine", "encoder": "encoder", "retriever": "retriever", "reranker": "reranker"}

func (s *System) startUpstream(address, service string) *Upstream {
	u := &Upstream{Address: address}
	models := standin.ModelOptions{Enabled: s.opts.LoadTime > 0, IgnoreTokens: true, LoadTime: s.opts.LoadTime}
	inner := standin.New(standin.Options{Kind: kinds[service], Delay: standinDelay, TokenDelay: standinDelay / 2, Tokens: Tokens, Models: models}).Handler()
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.T.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			u.recordCall(s, service, r)
		}
		inner.ServeHTTP(w, r)
	})}
	done := make(chan struct{})
	go func() {
		server.Serve(l)
		close(done)
	}()
	s.T.Cleanup(func() {
		server.Close()
		<-done
	})
	return u
}

// recordCall records a call that begins to run, and delays it as set by SetDelay.
func (u *Upstream) recordCall(s *System, service string, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if service == Desk {
		s.Runs.add(string(body))
	}
	if d := u.begin(string(body)); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	}
}
