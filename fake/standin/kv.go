package standin

import (
	"net/http"
	"strconv"
)

// KV is an exported part of an engine's KV cache: the leading blocks of a prompt. Export and import take time
// in proportion to its size.
type KV struct {
	Blocks []Block `json:"blocks"`
	Tokens int     `json:"tokens"`
}

// exportKV returns the cached blocks of a chat request's prompt, including its partial answer.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	req, ok := read[ChatRequest](w, r)
	if !ok {
		return
	}
	held := s.engine.export(r.Context(), Blocks(req.prefillText()))
	s.answer(w, KV{Blocks: held, Tokens: len(held) * BlockTokens})
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	if kv, ok := read[KV](w, r); ok {
		s.engine.importBlocks(r.Context(), kv.Blocks)
		w.WriteHeader(http.StatusNoContent)
	}
}

type eventPage struct {
	Events []CacheEvent `json:"events"`
}

// cacheEvents returns the published events after the sequence number in the query parameter "after". Lost
// events leave gaps in the numbers.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // zero if absent
	writeJSON(w, eventPage{s.engine.events.after(after)})
}
