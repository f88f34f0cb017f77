package configsync

import "caperdrum.org/api/wire"

// Hint is information from replies beyond the view. It need not be current: it only tells when to ask the
// leader.
type Hint struct {
	Fence uint64 // highest fencing token seen for this process's upstream
	Term  uint64 // highest term seen; a new term means that leadership may have changed
}

// MergeHint merges a reply's hint and reports whether the hint has increased.
func (h *Holder) MergeHint(reply *wire.SyncReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.hint
	h.hint = Hint{Fence: max(old.Fence, reply.Fence), Term: max(old.Term, reply.Term)}
	return h.hint != old
}

// Hint returns the merged hint.
func (h *Holder) Hint() Hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hint
}

// Hint returns the merged hint of all replies.
func (s *Service) Hint() Hint { return s.holder.Hint() }

// OnHint registers a listener that is called when the hint has increased, and must not block. It must be
// called before Start.
func (s *Service) OnHint(f func()) { s.hintListeners = append(s.hintListeners, f) }

func (s *Service) applyHint(reply *wire.SyncReply) {
	if !s.holder.MergeHint(reply) {
		return
	}
	for _, f := range s.hintListeners {
		f()
	}
}
