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
	memoryDivisor = 5
	// heldDefault is that bound where the settings do not say what the process may use.
	defaultMemoryBudget = 64 << 20
	// freeBytes of each call are not counted: it could not go on without them.
	uncountedBytes = readChunkBytes
)

// holdings bound the bytes that the process holds for all calls: bodies, and answers that their callers have
// not taken yet.
type memoryBudget struct {
	limit int64

	mu        sync.Mutex
	used      int64
	freed     chan struct{} // closed when bytes are given back; nil while nobody waits
	overdrawn *callMemory   // the one call that reads on without room; nil: none
}

// newHoldings bounds them for a process that may use so many MB of 2^20 bytes; zero: no limit is known.
func newMemoryBudget(memory int) *memoryBudget {
	if memory <= 0 {
		return &memoryBudget{limit: defaultMemoryBudget}
	}
	return &memoryBudget{limit: int64(memory) << 20 / memoryDivisor}
}

// take reports whether there is room for n bytes, and counts them.
func (b *memoryBudget) tryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.add(n)
	return true
}

// wait takes n bytes for a call once there is room for them, or reports why not. One call at a time, until its
// release, takes them without room: calls that each have a part of an answer would else wait for each other.
func (b *memoryBudget) reserve(ctx context.Context, call *callMemory, n int64) error {
	for {
		b.mu.Lock()
		if b.used+n > b.limit && b.overdrawn == nil {
			b.overdrawn = call
			overBudgetVar.Add(1)
		}
		if b.used+n <= b.limit || b.overdrawn == call {
			b.add(n)
			b.mu.Unlock()
			return nil
		}
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// force counts n bytes for which there may be no room.
func (b *memoryBudget) forceReserve(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n)
}

// inUse returns how many bytes are held.
func (b *memoryBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *memoryBudget) free(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(-n)
	b.notify()
}

// count adds n bytes to what is held. It must be called with the lock, like wake.
func (b *memoryBudget) add(n int64) {
	b.used += n
	heldBytesVar.Add(n)
}

func (b *memoryBudget) notify() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// end gives back what a call holds.
func (b *memoryBudget) releaseCall(call *callMemory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overdrawn == call {
		b.overdrawn = nil
	}
	b.add(-call.reserved)
	call.reserved = 0
	b.notify()
}

// held counts the bytes of one call.
type callMemory struct {
	budget   *memoryBudget
	reserved int64
}

// release gives back what the call holds.
func (m *callMemory) release() { m.budget.releaseCall(m) }

// fullReader reads a caller's body, and ends with errHeld when there is no room for it.
type bodyReader struct {
	r         io.Reader
	memory    *callMemory
	uncounted int64
}

// errHeld says that a body would take more memory than the process may use.
const errNoMemory = errors.ConstError("proxy: the calls that are under way take all memory that bodies may use")

// Read implements io.Reader.
func (f *bodyReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if counted := int64(n) - f.uncounted; counted > 0 {
		if !f.memory.budget.tryReserve(counted) {
			return 0, errNoMemory
		}
		f.memory.reserved += counted
	}
	f.uncounted = max(0, f.uncounted-int64(n))
	return n, err
}

// patientReader reads an upstream's answer as there is room for it.
type answerReader struct {
	ctx       context.Context
	r         io.Reader
	memory    *callMemory
	uncounted int64
}

// Read implements io.Reader.
func (f *answerReader) Read(p []byte) (int, error) {
	if f.uncounted <= 0 {
		p = p[:min(len(p), readChunkBytes)]
		if err := f.memory.budget.reserve(f.ctx, f.memory, int64(len(p))); err != nil {
			return 0, err
		}
		n, err := f.r.Read(p)
		f.memory.budget.free(int64(len(p) - n))
		f.memory.reserved += int64(n)
		return n, err
	}
	n, err := f.r.Read(p[:min(int64(len(p)), f.uncounted)])
	f.uncounted -= int64(n)
	return n, err
}
