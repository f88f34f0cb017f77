package proxy

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// memoryDivisor sets the memory budget: one part in this many of the memory that the process may use.
	memoryDivisor = 5
	// defaultMemoryBudget is the budget in bytes when the settings do not set the process's memory.
	defaultMemoryBudget = 64 << 20
	// uncountedBytes of each body and each response are not counted, so that every call makes progress. Those of bodies count
	// against what clients may hold; see package connlimit.
	uncountedBytes = readChunkBytes
)

// memoryBudget limits the bytes buffered for all calls: bodies, and responses that callers have not read yet.
type memoryBudget struct {
	limit int64

	mu        sync.Mutex
	used      int64
	freed     chan struct{} // closed when bytes are freed; nil if nobody waits
	overdrawn *callMemory   // the one call that may exceed the budget; nil if none
}

// newMemoryBudget returns the budget of a process that may use the given memory in MiB; zero means not set.
func newMemoryBudget(memory int) *memoryBudget {
	if memory <= 0 {
		return &memoryBudget{limit: defaultMemoryBudget}
	}
	return &memoryBudget{limit: int64(memory) << 20 / memoryDivisor}
}

// tryReserve reserves n bytes and reports whether the budget allowed it.
func (b *memoryBudget) tryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.add(n)
	return true
}

// reserve waits until n bytes fit into the memory budget and reserves them for a call. It returns ctx's error if
// that ends first. One call at a time, until its release, may exceed the budget: otherwise calls that each
// hold a part of a response would wait for each other forever.
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

// forceReserve reserves n bytes even if that exceeds the budget.
func (b *memoryBudget) forceReserve(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n)
}

// full reports whether no further bytes fit.
func (b *memoryBudget) full() bool { return b.inUse() >= b.limit }

// inUse returns the number of reserved bytes.
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

// add changes the number of reserved bytes by n. The caller must hold the lock, as for notify.
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

// releaseCall frees all bytes reserved for a call.
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

// callMemory counts the bytes reserved for one call.
type callMemory struct {
	budget   *memoryBudget
	reserved int64
}

// release frees all bytes reserved for the call.
func (m *callMemory) release() { m.budget.releaseCall(m) }

// bodyReader reads a caller's body and returns errNoMemory when the budget is exhausted.
type bodyReader struct {
	r         io.Reader
	memory    *callMemory
	uncounted int64
}

// errNoMemory says that a body does not fit into the memory budget.
const errNoMemory = errors.ConstError("proxy: the calls that are under way take all memory that bodies may use")

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if counted := int64(n) - b.uncounted; counted > 0 {
		if !b.memory.budget.tryReserve(counted) {
			return 0, errNoMemory
		}
		b.memory.reserved += counted
	}
	b.uncounted = max(0, b.uncounted-int64(n))
	return n, err
}

// responseReader reads an upstream's response and waits while the budget is exhausted.
type responseReader struct {
	ctx       context.Context
	r         io.Reader
	memory    *callMemory
	uncounted int64
}

// Read implements io.Reader.
func (a *responseReader) Read(p []byte) (int, error) {
	if a.uncounted <= 0 {
		p = p[:min(len(p), readChunkBytes)]
		if err := a.memory.budget.reserve(a.ctx, a.memory, int64(len(p))); err != nil {
			return 0, err
		}
		n, err := a.r.Read(p)
		a.memory.budget.free(int64(len(p) - n))
		a.memory.reserved += int64(n)
		return n, err
	}
	n, err := a.r.Read(p[:min(int64(len(p)), a.uncounted)])
	a.uncounted -= int64(n)
	return n, err
}
