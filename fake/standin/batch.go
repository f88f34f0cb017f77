package standin

import (
	"container/heap"
	"context"
	"time"
)

// sequence is one chat request in an engine's queue or batch.
type sequence struct {
	ctx      context.Context
	priority int    // lower runs first
	prompt   string // includes the part of the answer that the request continues
	chain    []Block
	tokens   int // tokens to generate
	answer   string

	arrival   uint64
	cached    int // prompt tokens found in the prefix cache
	prefill   int // prompt tokens still to compute
	generated int
	reserved  int    // blocks reserved for the sequence
	started   func() // called when the sequence enters the batch
	out       chan int
}

// sequenceHeap orders waiting sequences by priority, then arrival.
type sequenceHeap []*sequence

func (h sequenceHeap) Len() int { return len(h) }
func (h sequenceHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}
func (h sequenceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *sequenceHeap) Push(x any)   { *h = append(*h, x.(*sequence)) }
func (h *sequenceHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}

// batch is the state of an engine with continuous batching (Yu et al., "Orca", OSDI 2022): sequences enter
// and leave between steps, and a step generates one token for every sequence whose prompt has been computed.
// It is independent of time.
type batch struct {
	opts     Options
	cache    *PrefixCache
	waiting  sequenceHeap
	running  []*sequence
	reserved int // blocks reserved by the running sequences
	arrivals uint64
}

func newBatch(o Options) *batch {
	return &batch{opts: o, cache: NewPrefixCache(o.CacheBlocks)}
}

func (b *batch) add(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	s.chain = Blocks(s.prompt)
	s.out = make(chan int, s.tokens)
	heap.Push(&b.waiting, s)
}

func (b *batch) idle() bool { return len(b.running)+len(b.waiting) == 0 }

// used returns the blocks taken by running sequences and cached prefixes.
func (b *batch) used() int { return min(b.opts.CacheBlocks, b.reserved+b.cache.Len()) }

// step drops cancelled sequences, admits waiting ones and returns the duration of the next step.
func (b *batch) step() time.Duration {
	b.dropCancelled()
	for len(b.waiting) > 0 && len(b.running) < b.opts.MaxBatch {
		if !b.admit(b.waiting[0]) {
			break
		}
		heap.Pop(&b.waiting)
	}
	if len(b.running) == 0 {
		return 0
	}
	computed := 0
	for _, s := range b.running {
		n := min(s.prefill, maxPrefill-computed)
		s.prefill -= n
		computed += n
	}
	return b.opts.TokenDelay + time.Duration(len(b.running))*b.opts.SequenceDelay + time.Duration(computed)*b.opts.PrefillDelay
}

// admit moves a sequence into the batch if its blocks fit. A sequence that exceeds the whole memory runs
// alone.
func (b *batch) admit(s *sequence) bool {
	if s.ctx.Err() != nil {
		close(s.out)
		return true
	}
	s.reserved = len(s.chain) + s.tokens/BlockTokens + 1
	if b.reserved+s.reserved > b.opts.CacheBlocks && len(b.running) > 0 {
		return false
	}
	hit := b.cache.Match(s.chain)
	b.cache.Store(s.chain[:hit]) // mark as recently used
	s.cached = hit * BlockTokens
	s.prefill = max(PromptTokens(s.prompt)-s.cached, 0)
	b.reserved += s.reserved
	b.running = append(b.running, s)
	b.makeRoom()
	if s.started != nil {
		s.started()
	}
	return true
}

// makeRoom evicts cached prefixes to free memory for running sequences.
func (b *batch) makeRoom() { b.cache.Shrink(b.opts.CacheBlocks - b.reserved) }

// finish completes a step: every sequence whose prompt has been computed gets one more token.
func (b *batch) finish() {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.prefill > 0 {
			kept = append(kept, s)
			continue
		}
		if s.generated < s.tokens {
			s.out <- s.generated
			s.generated++
		}
		if s.generated >= s.tokens {
			b.release(s)
			continue
		}
		kept = append(kept, s)
	}
	clear(b.running[len(kept):])
	b.running = kept
}

func (b *batch) dropCancelled() {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.ctx.Err() != nil {
			b.release(s)
			continue
		}
		kept = append(kept, s)
	}
	clear(b.running[len(kept):])
	b.running = kept
}

// release removes a sequence from the batch and caches its prefix, including the answer if it is complete.
func (b *batch) release(s *sequence) {
	b.reserved -= s.reserved
	close(s.out)
	if s.prefill > 0 {
		return
	}
	chain := s.chain
	if s.generated == s.tokens {
		chain = Blocks(s.prompt + s.answer)
	}
	b.cache.Store(chain)
	b.makeRoom()
}
