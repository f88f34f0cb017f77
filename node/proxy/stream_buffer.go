package proxy

import (
	"context"
	"io"
	"sync"
)

// spoolLimit bounds what is kept of one stream for a caller that reads slower than its upstream writes, in bytes:
// an upstream whose whole stream fits ends, and is free for others, however slow the caller is.
const maxStreamBufferBytes = 256 << 10

// spool reads a stream ahead of its caller. When it is full, or all calls together hold too much, the upstream
// has to wait.
type streamBuffer struct {
	ctx    context.Context
	budget *memoryBudget

	mu     sync.Mutex
	data   []byte
	err    error         // why there is no more after data
	change chan struct{} // closed at the next change; nil while nobody waits
	done   chan struct{} // closed when nothing is read any more
}

// newSpool begins to read from r.
func newStreamBuffer(ctx context.Context, r io.Reader, h *memoryBudget) *streamBuffer {
	s := &streamBuffer{ctx: ctx, budget: h, done: make(chan struct{})}
	go s.fill(r)
	return s
}

func (s *streamBuffer) fill(r io.Reader) {
	defer close(s.done)
	buf := make([]byte, readChunkBytes)
	for {
		n, err := r.Read(buf)
		if !s.add(buf[:n], err) {
			return
		}
	}
}

// add keeps bytes and reports whether more may come. It waits for room: the last chunk of each stream is kept
// in any case, so that every stream goes on.
func (s *streamBuffer) add(p []byte, err error) bool {
	for {
		s.mu.Lock()
		empty := len(s.data) == 0
		if empty {
			s.budget.forceReserve(int64(len(p)))
		}
		if empty || len(s.data)+len(p) <= maxStreamBufferBytes && s.budget.tryReserve(int64(len(p))) {
			s.data, s.err = append(s.data, p...), err
			s.notify()
			s.mu.Unlock()
			return err == nil
		}
		changed := s.changeSignal()
		s.mu.Unlock()
		select {
		case <-changed:
		case <-s.ctx.Done():
			s.mu.Lock()
			s.err = s.ctx.Err()
			s.notify()
			s.mu.Unlock()
			return false
		}
	}
}

// next returns what has come since the last call, or why nothing does any more.
func (s *streamBuffer) next() ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.data) > 0 {
			data := s.data
			s.data = nil
			s.budget.free(int64(len(data)))
			s.notify()
			s.mu.Unlock()
			return data, nil
		}
		if s.err != nil {
			s.mu.Unlock()
			return nil, s.err
		}
		changed := s.changeSignal()
		s.mu.Unlock()
		<-changed
	}
}

// drop gives back what nobody takes any more. The reader must have ended.
func (s *streamBuffer) free() {
	<-s.done
	s.budget.free(int64(len(s.data)))
	s.data = nil
}

// wait returns a channel that is closed at the next change. It must be called with the lock.
func (s *streamBuffer) changeSignal() <-chan struct{} {
	if s.change == nil {
		s.change = make(chan struct{})
	}
	return s.change
}

func (s *streamBuffer) notify() {
	if s.change != nil {
		close(s.change)
		s.change = nil
	}
}
