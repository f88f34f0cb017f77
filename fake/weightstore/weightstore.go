// Package weightstore is a stand-in for the store that engines load weights
// from. It sends at a limited rate over all its readers, can be made to stall,
// and counts what it sent per second.
package weightstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Server is one store.
type Server struct {
	rate int64 // bytes per second

	mu      sync.Mutex
	next    time.Time // when the link is free again
	stalled bool
	sent    map[int64]int64 // by Unix second
	asked   map[int64]int64 // bytes of reads begun, by Unix second
}

const (
	chunkBytes = 64 << 10
	stallCheck = 20 * time.Millisecond
)

// New returns a store that sends rate bytes per second.
func New(rate int64) *Server {
	return &Server{rate: rate, sent: map[int64]int64{}, asked: map[int64]int64{}}
}

// Stall stops all transfers, or lets them go on.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
}

// Stats is what the store counted.
type Stats struct {
	Sent  map[int64]int64 `json:"sent"`  // bytes by Unix second
	Asked map[int64]int64 `json:"asked"` // bytes of reads begun, by Unix second
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Sent: map[int64]int64{}, Asked: map[int64]int64{}}
	for k, v := range s.sent {
		out.Sent[k] = v
	}
	for k, v := range s.asked {
		out.Asked[k] = v
	}
	return out
}

// Handler returns the store's HTTP interface: GET /weights/NAME?bytes=N,
// GET /stats, POST /stall?on=true.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/weights/*", s.read)
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Stats()) })
	r.Post("/stall", func(w http.ResponseWriter, r *http.Request) {
		s.Stall(r.URL.Query().Get("on") == "true")
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	left, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || left < 0 {
		http.Error(w, "bytes is not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.asked[time.Now().Unix()] += left
	s.mu.Unlock()
	w.Header().Set("Content-Length", strconv.FormatInt(left, 10))
	chunk := make([]byte, chunkBytes)
	for left > 0 {
		n := min(left, chunkBytes)
		if !s.pace(r.Context(), n) {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

// pace waits until the link may send n more bytes.
func (s *Server) pace(ctx context.Context, n int64) bool {
	for ctx.Err() == nil {
		s.mu.Lock()
		now := time.Now()
		wait := s.next.Sub(now)
		if !s.stalled && wait <= 0 {
			s.next = now.Add(time.Duration(float64(n) / float64(s.rate) * float64(time.Second)))
			s.sent[now.Unix()] += n
			s.mu.Unlock()
			return true
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(min(wait, stallCheck), time.Millisecond)):
		}
	}
	return false
}
