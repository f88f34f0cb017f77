package configsync

import "caperdrum.org/api/wire"

// Hint is what answers said of the control processes beyond the view. It need
// not be current: it only tells when to ask the leader.
type Hint struct {
	Fence uint64 // highest token heard of for this process's upstream
	Term  uint64 // highest term heard of: another one means another leadership
}

// TakeHint takes over an answer's hints and reports whether one grew.
func (h *Holder) TakeHint(reply *wire.SyncReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.hint
	h.hint = Hint{Fence: max(old.Fence, reply.Fence), Term: max(old.Term, reply.Term)}
	return h.hint != old
}

// Hint returns the hints taken so far.
func (h *Holder) Hint() Hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hint
}

// Hint returns what answers said beyond the view.
func (s *Service) Hint() Hint { return s.holder.Hint() }

// OnHint registers f, which must not block and is called when a hint grew. It
// must be called before Start.
func (s *Service) OnHint(f func()) { s.hintListeners = append(s.hintListeners, f) }

func (s *Service) applyHint(reply *wire.SyncReply) {
	if !s.holder.TakeHint(reply) {
		return
	}
	for _, f := range s.hintListeners {
		f()
	}
}
