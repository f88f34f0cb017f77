// Package standin has small upstreams for demonstrations, tests and the load
// tool: an engine, an encoder, a retriever, a reranker and a plain service.
// Answers depend only on the request, so a test can tell a wrong one.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Options set how a stand-in behaves.
type Options struct {
	Kind       string        // engine, encoder, retriever, reranker or plain
	Delay      time.Duration // time until the first byte of an answer
	TokenDelay time.Duration // engine: time between tokens
	Tokens     int           // engine: tokens of an answer
}

// Server is one stand-in.
type Server struct {
	opts Options

	mu   sync.Mutex
	runs map[string]int // plain: how often each body was run
}

// New returns a stand-in.
func New(opts Options) *Server {
	return &Server{opts: opts, runs: map[string]int{}}
}

// Handler returns the stand-in's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	switch s.opts.Kind {
	case "engine":
		r.Post("/v1/chat/completions", s.chat)
	case "encoder":
		r.Post("/v1/embeddings", s.embed)
	case "retriever":
		r.Post("/v1/search", s.search)
	case "reranker":
		r.Post("/v1/rerank", s.rerank)
	default:
		r.Get("/runs", s.showRuns)
		r.HandleFunc("/*", s.plain)
	}
	return r
}

func (s *Server) pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v) // the types below always encode
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

func hash(s string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, s)
	return h.Sum64()
}

// ChatRequest is the part of an OpenAI chat request that the engine reads.
type ChatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Continue  bool `json:"continue_final_message"` // go on after the final assistant message
}

// Token returns the i-th token that the engine answers to a prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("w%x-%d ", hash(prompt)&0xffff, i)
}

// Text returns the whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// generated returns how many tokens of the answer the request holds already.
func (c ChatRequest) generated() int {
	if !c.Continue || len(c.Messages) == 0 {
		return 0
	}
	return len(strings.Fields(c.Messages[len(c.Messages)-1].Content))
}

// Prompt returns what the engine generates from.
func (c ChatRequest) Prompt() string {
	var b strings.Builder
	messages := c.Messages
	if c.Continue && len(messages) > 0 {
		messages = messages[:len(messages)-1]
	}
	for _, m := range messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index   int        `json:"index"`
	Delta   *chatDelta `json:"delta,omitempty"`
	Message *chatDelta `json:"message,omitempty"`
}

type chatAnswer struct {
	Object  string       `json:"object"`
	Choices []chatChoice `json:"choices"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	req, ok := read[ChatRequest](w, r)
	if !ok || !s.pause(r, s.opts.Delay) {
		return
	}
	tokens := s.opts.Tokens
	if req.MaxTokens > 0 {
		tokens = req.MaxTokens
	}
	prompt := req.Prompt()
	if !req.Stream {
		if s.pause(r, time.Duration(tokens)*s.opts.TokenDelay) {
			writeJSON(w, chatAnswer{Object: "chat.completion", Choices: []chatChoice{{Message: &chatDelta{Text(prompt, tokens)}}}})
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := req.generated(); i < tokens; i++ {
		if i > 0 && !s.pause(r, s.opts.TokenDelay) {
			return
		}
		data, _ := json.Marshal(chatAnswer{Object: "chat.completion.chunk", Choices: []chatChoice{{Delta: &chatDelta{Token(prompt, i)}}}})
		fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

const dimensions = 8

func (s *Server) embed(w http.ResponseWriter, r *http.Request) {
	type request struct {
		Input string `json:"input"`
	}
	type row struct {
		Embedding []float64 `json:"embedding"`
	}
	req, ok := read[request](w, r)
	if !ok || !s.pause(r, s.opts.Delay) {
		return
	}
	vector := make([]float64, dimensions)
	h := hash(req.Input)
	for i := range vector {
		vector[i] = float64(h>>(8*i)&0xff) / 255
	}
	writeJSON(w, struct {
		Data []row `json:"data"`
	}{[]row{{vector}}})
}

// Document is a retrieved text.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	type request struct {
		Query string `json:"query"`
		TopK  int    `json:"top_k"`
	}
	req, ok := read[request](w, r)
	if !ok || !s.pause(r, s.opts.Delay) {
		return
	}
	docs := make([]Document, req.TopK)
	for i := range docs {
		docs[i] = document(req.Query, i)
	}
	writeJSON(w, struct {
		Documents []Document `json:"documents"`
	}{docs})
}

func (s *Server) rerank(w http.ResponseWriter, r *http.Request) {
	type request struct {
		Documents []Document `json:"documents"`
		TopN      int        `json:"top_n"`
	}
	type result struct {
		Index int     `json:"index"`
		Score float64 `json:"relevance_score"`
	}
	req, ok := read[request](w, r)
	if !ok || !s.pause(r, s.opts.Delay) {
		return
	}
	n := min(req.TopN, len(req.Documents))
	results := make([]result, n)
	docs := make([]Document, n)
	for i := range n {
		j := len(req.Documents) - 1 - i
		results[i] = result{j, 1 / float64(i+1)}
		docs[i] = req.Documents[j]
	}
	writeJSON(w, struct {
		Results   []result   `json:"results"`
		Documents []Document `json:"documents"`
	}{results, docs})
}

// plain runs a call that counts: every run of a body is remembered.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	n := s.runs[string(body)]
	s.mu.Unlock()
	if !s.pause(r, s.opts.Delay) {
		return
	}
	writeJSON(w, struct {
		Confirmation string `json:"confirmation"`
		Run          int    `json:"run"`
	}{fmt.Sprintf("c%x", hash(string(body))), n})
}

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}
