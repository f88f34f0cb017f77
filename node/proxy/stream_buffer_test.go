package proxy

import (
	"context"
	"strings"
	"testing"
)

// repeatingReader returns the same byte for ever.
type repeatingReader struct{}

// Read implements io.Reader.
func (repeatingReader) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat("x", len(p))), nil
}

// TestFullStreamBufferIsFreed gives up a stream while its buffer is full and its upstream goes on sending. That must not wait until
// the call's deadline: the call is to go on at another upstream.
func TestFullStreamBufferIsFreed(t *testing.T) {
	budget := newMemoryBudget(0)
	s := newStreamBuffer(context.Background(), repeatingReader{}, budget)
	for full := false; !full; {
		s.mu.Lock()
		full = len(s.data)+readChunkBytes > maxStreamBufferBytes
		changed := s.changeSignal()
		s.mu.Unlock()
		if !full {
			<-changed
		}
	}
	s.free()
	if n := budget.inUse(); n != 0 {
		t.Fatalf("%d bytes stay reserved", n)
	}
}
