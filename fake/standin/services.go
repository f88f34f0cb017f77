package standin

import (
	"io"
	"net/http"
)

// work runs a call in the pool. It returns true if the caller is still connected; the answer must then be
// written.
func (s *Server) work(r *http.Request, size int, started func()) bool {
	id := r.Header.Get(headerRequestID)
	ran := false
	held, stayed := s.pool.serve(r.Context(), size, func() {
		ran = true
		s.log.begin(id)
		if started != nil {
			started()
		}
	})
	if ran {
		s.log.end(id, held, stayed)
	}
	return stayed
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
	if !ok || !s.work(r, len(req.Input), nil) {
		return
	}
	vector := make([]float64, dimensions)
	h := hash(req.Input)
	for i := range vector {
		vector[i] = float64(h>>(8*i)&0xff) / 255
	}
	s.answer(w, struct {
		Data []row `json:"data"`
	}{[]row{{vector}}})
}

// Document is a retrieved document.
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
	if !ok || !s.work(r, len(req.Query), nil) {
		return
	}
	docs := make([]Document, req.TopK)
	for i := range docs {
		docs[i] = document(req.Query, i)
	}
	s.answer(w, struct {
		Documents []Document `json:"documents"`
	}{docs})
}

func (s *Server) rerank(w http.ResponseWriter, r *http.Request) {
	type request struct {
		Query     string     `json:"query"`
		Documents []Document `json:"documents"`
		TopN      int        `json:"top_n"`
	}
	type result struct {
		Index int     `json:"index"`
		Score float64 `json:"relevance_score"`
	}
	req, ok := read[request](w, r)
	if !ok || !s.work(r, len(req.Query), nil) {
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
	s.answer(w, struct {
		Results   []result   `json:"results"`
		Documents []Document `json:"documents"`
	}{results, docs})
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Confirmation string `json:"confirmation"`
	Run          int    `json:"run"`
}

// plain runs a call and counts the runs of its body.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body, n := string(data), 0
	stayed := s.work(r, len(body), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[body]++
		n = s.runs[body]
	})
	if stayed {
		s.answer(w, PlainAnswer{Confirmation(body), n})
	}
}
