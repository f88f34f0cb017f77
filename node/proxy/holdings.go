package proxy

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// heldPart is the part of the process's memory that bytes of callers and upstreams may take, one in so
	// many.
	heldPart = 5
	// heldDefault is that bound where the settings do not say what the process may use.
	heldDefault = 64 << 20
	// freeBytes of each call are not counted: it could not go on without them.
	freeBytes = readChunk
)

// holdings bound the bytes that the process holds for all calls: bodies, and answers that their callers have
// not taken yet.
type holdings struct {
	limit int64

	mu    sync.Mutex
	used  int64
	freed chan struct{} // closed when bytes are given back; nil while nobody waits
	over  *held         // the one call that reads on without room; nil: none
}

// newHoldings bounds them for a process that may use so many MB of 2^20 bytes; zero: no limit is known.
func newHoldings(memory int) *holdings {
	if memory <= 0 {
		return &holdings{limit: heldDefault}
	}
	return &holdings{limit: int64(memory) << 20 / heldPart}
}

// take reports whether there is room for n bytes, and counts them.
func (h *holdings) take(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+n > h.limit {
		return false
	}
	h.count(n)
	return true
}

// wait takes n bytes for a call once there is room for them, or reports why not. One call at a time, until its
// release, takes them without room: calls that each have a part of an answer would else wait for each other.
func (h *holdings) wait(ctx context.Context, call *held, n int64) error {
	for {
		h.mu.Lock()
		if h.used+n > h.limit && h.over == nil {
			h.over = call
			overVar.Add(1)
		}
		if h.used+n <= h.limit || h.over == call {
			h.count(n)
			h.mu.Unlock()
			return nil
		}
		if h.freed == nil {
			h.freed = make(chan struct{})
		}
		freed := h.freed
		h.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// force counts n bytes for which there may be no room.
func (h *holdings) force(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count(n)
}

// inUse returns how many bytes are held.
func (h *holdings) inUse() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

func (h *holdings) give(n int64) {
	if n == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count(-n)
	h.wake()
}

// count adds n bytes to what is held. It must be called with the lock, like wake.
func (h *holdings) count(n int64) {
	h.used += n
	heldVar.Add(n)
}

func (h *holdings) wake() {
	if h.freed != nil {
		close(h.freed)
		h.freed = nil
	}
}

// end gives back what a call holds.
func (h *holdings) end(call *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over == call {
		h.over = nil
	}
	h.count(-call.n)
	call.n = 0
	h.wake()
}

// held counts the bytes of one call.
type held struct {
	all *holdings
	n   int64
}

// release gives back what the call holds.
func (h *held) release() { h.all.end(h) }

// fullReader reads a caller's body, and ends with errHeld when there is no room for it.
type fullReader struct {
	r    io.Reader
	held *held
	free int64
}

// errHeld says that a body would take more memory than the process may use.
const errHeld = errors.ConstError("proxy: the calls that are under way take all memory that bodies may use")

// Read implements io.Reader.
func (f *fullReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if counted := int64(n) - f.free; counted > 0 {
		if !f.held.all.take(counted) {
			return 0, errHeld
		}
		f.held.n += counted
	}
	f.free = max(0, f.free-int64(n))
	return n, err
}

// patientReader reads an upstream's answer as there is room for it.
type patientReader struct {
	ctx  context.Context
	r    io.Reader
	held *held
	free int64
}

// Read implements io.Reader.
func (f *patientReader) Read(p []byte) (int, error) {
	if f.free <= 0 {
		p = p[:min(len(p), readChunk)]
		if err := f.held.all.wait(f.ctx, f.held, int64(len(p))); err != nil {
			return 0, err
		}
		n, err := f.r.Read(p)
		f.held.all.give(int64(len(p) - n))
		f.held.n += int64(n)
		return n, err
	}
	n, err := f.r.Read(p[:min(int64(len(p)), f.free)])
	f.free -= int64(n)
	return n, err
}
