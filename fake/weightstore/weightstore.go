// Package weightstore is a fake store of model weights. It limits the total rate over all readers, can be
// stalled, and counts the bytes sent per second.
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

// Server is a weight store.
type Server struct {
	rate int64 // bytes per second

	mu        sync.Mutex
	next      time.Time // when the link is next free
	stalled   bool
	sent      map[int64]int64 // bytes sent, by Unix second
	requested map[int64]int64 // bytes requested, by Unix second
}

const (
	chunkBytes = 64 << 10
	stallCheck = 20 * time.Millisecond
)

// New returns a store that sends at most rate bytes per second.
func New(rate int64) *Server {
	return &Server{rate: rate, sent: map[int64]int64{}, requested: map[int64]int64{}}
}

// Stall stops or resumes all transfers.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
}

// Stats are the transfer counts of a store.
type Stats struct {
	Sent  map[int64]int64 `json:"sent"`  // bytes sent, by Unix second
	Asked map[int64]int64 `json:"asked"` // bytes requested, by Unix second
}

// Stats returns a copy of the transfer counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Sent: map[int64]int64{}, Asked: map[int64]int64{}}
	for k, v := range s.sent {
		out.Sent[k] = v
	}
	for k, v := range s.requested {
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
	s.requested[time.Now().Unix()] += left
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

// pace waits until n more bytes may be sent; it returns false if ctx ends first.
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
