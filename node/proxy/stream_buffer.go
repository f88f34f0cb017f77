package proxy

import (
	"context"
	"io"
	"sync"
)

// maxStreamBufferBytes bounds what is buffered of one stream for a caller that reads slower than its upstream writes. An
// upstream whose whole stream fits is free for other calls, however slow the caller is.
const maxStreamBufferBytes = 256 << 10

// streamBuffer reads a stream ahead of its caller. When it is full or the memory budget is exhausted, the upstream has
// to wait.
type streamBuffer struct {
	ctx    context.Context
	budget *memoryBudget

	mu     sync.Mutex
	data   []byte
	err    error         // why nothing follows data
	freed  bool          // nothing is read from the buffer any more
	change chan struct{} // closed at the next change; nil if nobody waits
	done   chan struct{} // closed when reading has ended
}

// newStreamBuffer starts to read from r.
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

// add buffers bytes and reports whether reading may go on. It waits for free memory, but an empty buffer takes one chunk
// even beyond the memory budget, so that every stream makes progress.
func (s *streamBuffer) add(p []byte, err error) bool {
	for {
		s.mu.Lock()
		if s.freed {
			s.mu.Unlock()
			return false
		}
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

// next waits for data and returns what has arrived since the last call. After the last data it returns the error with
// which reading ended, io.EOF for a complete stream.
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

// free waits until reading has ended and frees the remaining data. The caller must end a read that is in progress.
func (s *streamBuffer) free() {
	s.mu.Lock()
	s.freed = true
	s.notify()
	s.mu.Unlock()
	<-s.done
	s.budget.free(int64(len(s.data)))
	s.data = nil
}

// changeSignal returns a channel that is closed at the next change. The caller must hold the lock.
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
