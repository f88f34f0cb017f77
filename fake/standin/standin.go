// Package standin provides fake upstreams for demonstrations, tests and the load tool: an engine with
// continuous batching and a prefix cache, an encoder, a retriever, a reranker and a plain service. They sleep
// instead of working. Answers depend only on the request, so that callers can verify them, and every stand-in
// records which requests it ran.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
)

// headerRequestID is the id under which a request is recorded.
const headerRequestID = "X-Request-Id"

// Server is one stand-in.
type Server struct {
	opts   Options
	clock  clockwork.Clock
	faults *faults
	log    *runLog
	pool   *pool   // all kinds but engine
	engine *engine // engines only
	models *models // engines only

	mu   sync.Mutex
	runs map[string]int // plain services: how often each body was run
}

// New returns a stand-in.
func New(opts Options) *Server { return newServer(opts, clockwork.NewRealClock()) }

func newServer(opts Options, clock clockwork.Clock) *Server {
	opts = opts.withDefaults()
	s := &Server{opts: opts, clock: clock, faults: newFaults(opts), log: newRunLog(opts.Kind), runs: map[string]int{}, models: &models{opts: opts.Models}}
	if opts.Kind == KindEngine {
		s.engine = newEngine(opts, clock, s.faults)
		return s
	}
	s.pool = newPool(opts, clock, s.faults)
	return s
}

// Handler returns the stand-in's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/fault", func(w http.ResponseWriter, _ *http.Request) { f, _ := s.faults.current(); writeJSON(w, f) })
	r.Post("/fault", s.setFault)
	r.Get("/account", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.log.account()) })
	r.Group(func(r chi.Router) {
		r.Use(s.injectFaults)
		r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		s.workRoutes(r)
	})
	return r
}

func (s *Server) workRoutes(r chi.Router) {
	switch s.opts.Kind {
	case KindEngine:
		s.engineRoutes(r)
		if s.opts.Models.Enabled {
			s.modelRoutes(r)
		}
	case KindEncoder:
		r.Post("/v1/embeddings", s.embed)
	case KindRetriever:
		r.Post("/v1/search", s.search)
	case KindReranker:
		r.Post("/v1/rerank", s.rerank)
	default:
		r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
		r.HandleFunc("/*", s.plain)
	}
}

// Account returns the work since the last reset.
func (s *Server) Account() Account { return s.log.account() }

// Runs returns how often a plain service ran each request body.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		out[body] = n
	}
	return out
}

// Reset clears the account, the run counts and the cached prefixes, and ends all faults.
func (s *Server) Reset() {
	s.faults.set(Fault{})
	s.log.reset()
	s.mu.Lock()
	s.runs = map[string]int{}
	s.mu.Unlock()
	if s.engine != nil {
		s.engine.load.setLag(s.opts.LoadLag)
		s.engine.reset()
	}
}

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) { s.faults.set(f) }

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	if f, ok := read[Fault](w, r); ok {
		s.faults.set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// injectFaults is the middleware that injects faults before a request runs.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, ended := s.faults.current()
		if f.Silent {
			io.Copy(io.Discard, r.Body) // the server detects a disconnect only after reading the body
			select {
			case <-r.Context().Done():
			case <-ended:
			}
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path != "/health" && s.faults.occurs(func(f Fault) float64 { return f.Error }) {
			http.Error(w, "failing on command", http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v) // the types of this package always encode
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

// answer writes a JSON answer, or only its first half if the fault Cut occurs.
func (s *Server) answer(w http.ResponseWriter, v any) {
	if !s.truncates() {
		writeJSON(w, v)
		return
	}
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data[:len(data)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) truncates() bool { return s.faults.occurs(func(f Fault) float64 { return f.Cut }) }

func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
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

// Confirmation returns the confirmation that a plain service answers to a body.
func Confirmation(body string) string { return fmt.Sprintf("c%x", hash(body)) }
