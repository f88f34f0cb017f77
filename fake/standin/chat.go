package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
)

// headerPriority is the priority of a request in an engine's queue; lower runs first. The field "priority" of
// the body takes precedence.
const headerPriority = "X-Priority"

func (s *Server) engineRoutes(r chi.Router) {
	r.Post("/v1/chat/completions", s.chat)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.engine.load.report()) })
	r.Get("/v1/cache/events", s.cacheEvents)
	r.Post("/v1/kv/export", s.exportKV)
	r.Post("/v1/kv/import", s.importKV)
}

// ChatRequest is the part of an OpenAI chat request that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model,omitempty"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Priority  *int          `json:"priority,omitempty"`
	Continue  bool          `json:"continue_final_message,omitempty"` // continue the final assistant message
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// partial returns the partial answer that the request asks to continue.
func (c ChatRequest) partial() string {
	if !c.Continue || len(c.Messages) == 0 {
		return ""
	}
	return c.Messages[len(c.Messages)-1].Content
}

// Prompt returns the prompt without a partial answer.
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

// answerRole precedes an answer in the prompt of a later turn.
const answerRole = "assistant:"

// prefillText returns the text to prefill: the prompt and a partial answer.
func (c ChatRequest) prefillText() string {
	if p := c.partial(); p != "" {
		return c.Prompt() + answerRole + p
	}
	return c.Prompt()
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index   int        `json:"index"`
	Delta   *chatDelta `json:"delta,omitempty"`
	Message *chatDelta `json:"message,omitempty"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatUsage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type chatAnswer struct {
	Object  string       `json:"object"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatRun is one chat request in progress.
type chatRun struct {
	s      *Server
	req    ChatRequest
	id     string
	prompt string
	first  int // index of the first token to generate
	tokens int // length of the whole answer
	seq    *sequence
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	if !s.models.serves() {
		http.Error(w, "no model is loaded", http.StatusServiceUnavailable)
		return
	}
	req, ok := read[ChatRequest](w, r)
	if !ok {
		return
	}
	if !sleep(r.Context(), s.clock, s.faults.scaled(s.opts.Delay)) {
		return
	}
	run := s.newRun(r, req)
	began := s.clock.Now()
	ran := false
	run.seq.started = func() {
		ran, began = true, s.clock.Now()
		s.log.begin(run.id)
	}
	whole := false
	defer func() {
		// No data race on ran and began: started is called, if at all, before the first token, and by now the
		// sequence's channel is closed or all its tokens have been read.
		if ran {
			s.log.end(run.id, s.clock.Since(began), whole)
		}
	}()
	s.engine.submit(run.seq)
	if req.Stream {
		whole = run.writeStream(w)
	} else {
		whole = run.writeComplete(w)
	}
	for range run.seq.out { // until the engine releases the sequence
	}
}

func (s *Server) newRun(r *http.Request, req ChatRequest) *chatRun {
	run := &chatRun{s: s, req: req, id: r.Header.Get(headerRequestID), prompt: req.Prompt(), tokens: s.opts.Tokens}
	run.first = len(strings.Fields(req.partial()))
	if req.MaxTokens > 0 {
		run.tokens = run.first + req.MaxTokens // max_tokens counts new tokens only
	}
	run.first = min(run.first, run.tokens)
	rest := strings.Builder{}
	if run.first == 0 {
		rest.WriteString(answerRole)
	}
	for i := run.first; i < run.tokens; i++ {
		rest.WriteString(Token(run.prompt, i))
	}
	run.seq = &sequence{ctx: r.Context(), priority: priorityOf(r, req), prompt: req.prefillText(), tokens: run.tokens - run.first, answer: rest.String()}
	return run
}

func priorityOf(r *http.Request, req ChatRequest) int {
	if req.Priority != nil {
		return *req.Priority
	}
	n, _ := strconv.Atoi(r.Header.Get(headerPriority)) // zero if absent
	return n
}

func (c *chatRun) usage() *chatUsage {
	prompt := PromptTokens(c.seq.prompt)
	c.s.log.tokens(prompt, c.seq.cached)
	return &chatUsage{PromptTokens: prompt, CompletionTokens: c.tokens - c.first, PromptTokensDetails: promptDetails{c.seq.cached}}
}

// writeComplete writes the answer as one JSON document and reports whether it was complete.
func (c *chatRun) writeComplete(w http.ResponseWriter) bool {
	n := 0
	for range c.seq.out {
		n++
	}
	if n < c.seq.tokens {
		return false
	}
	c.s.answer(w, chatAnswer{Object: "chat.completion", Choices: []chatChoice{{Message: &chatDelta{Text(c.prompt, c.tokens)}}}, Usage: c.usage()})
	return true
}

// writeStream writes the answer as server-sent events, one per token, and reports whether it was complete.
func (c *chatRun) writeStream(w http.ResponseWriter) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	cutAfter := -1
	if c.s.truncates() {
		cutAfter = c.seq.tokens / 2
	}
	n := 0
	for i := range c.seq.out {
		if n == cutAfter {
			panic(http.ErrAbortHandler)
		}
		n++
		writeEvent(w, chatAnswer{Object: "chat.completion.chunk", Choices: []chatChoice{{Delta: &chatDelta{Token(c.prompt, c.first+i)}}}})
		if flusher.Flush() != nil {
			return false
		}
	}
	if n < c.seq.tokens {
		return false
	}
	writeEvent(w, chatAnswer{Object: "chat.completion.chunk", Choices: []chatChoice{}, Usage: c.usage()})
	io.WriteString(w, "data: [DONE]\n\n")
	return true
}

func writeEvent(w io.Writer, v any) {
	data, _ := json.Marshal(v)
	fmt.Fprintf(w, "data: %s\n\n", data)
}
