package standin

import (
	"context"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runUntilIdle runs the batch until it is idle. It returns the simulated time of each sequence's first and last
// token.
func runUntilIdle(b *batch, sequences ...*sequence) (first, last []time.Duration) {
	first, last = make([]time.Duration, len(sequences)), make([]time.Duration, len(sequences))
	var now time.Duration
	for !b.idle() {
		now += b.step()
		b.finish()
		for i, s := range sequences {
			if s.generated > 0 && first[i] == 0 {
				first[i] = now
			}
			if s.generated == s.tokens && last[i] == 0 {
				last[i] = now
			}
		}
	}
	return first, last
}

func testBatch(slots, blocks int) *batch {
	return newBatch(Options{TokenDelay: 10 * time.Millisecond, SequenceDelay: time.Millisecond, PrefillDelay: 100 * time.Microsecond, MaxBatch: slots, CacheBlocks: blocks})
}

func testSequence(b *batch, prompt string, tokens, priority int) *sequence {
	s := &sequence{ctx: context.Background(), prompt: prompt, tokens: tokens, priority: priority}
	b.add(s)
	return s
}

func text(c string, tokens int) string { return strings.Repeat(c, tokens*BytesPerToken) }

func TestStepTimeGrowsWithTheBatchAndThePrompt(t *testing.T) {
	b := testBatch(4, 1000)
	one := testSequence(b, text("a", 100), 3, 0)
	first, last := runUntilIdle(b, one)
	if first[0] != 21*time.Millisecond || last[0] != 43*time.Millisecond { // 10 + 1 + 100×0.1, then twice 11
		t.Fatalf("alone: first token after %s, last after %s", first[0], last[0])
	}
	b = testBatch(4, 1000)
	two := []*sequence{testSequence(b, text("a", 10), 2, 0), testSequence(b, text("b", 10), 2, 0)}
	_, last = runUntilIdle(b, two...)
	if last[0] != 26*time.Millisecond || last[1] != last[0] { // (12 + 20×0.1) + 12: in parallel, not one after the other
		t.Fatalf("two together: %s and %s", last[0], last[1])
	}
}

func TestFullBatchLetsTheMostUrgentInNext(t *testing.T) {
	b := testBatch(1, 1000)
	running := testSequence(b, text("a", 10), 5, 0)
	b.step()
	b.finish()
	later, urgent := testSequence(b, text("b", 10), 1, 1), testSequence(b, text("c", 10), 1, 0)
	_, last := runUntilIdle(b, running, later, urgent)
	if !(last[0] < last[2] && last[2] < last[1]) {
		t.Fatalf("ended at %v; want running, urgent, later", last)
	}
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	b := testBatch(1, 1000)
	runUntilIdle(b, testSequence(b, text("a", 64), 1, 0))
	again := testSequence(b, text("a", 64)+text("b", 10), 1, 0)
	first, _ := runUntilIdle(b, again)
	if again.cached != 64 || first[0] != 12*time.Millisecond { // 11 + 10×0.1
		t.Fatalf("cached %d tokens, first token after %s", again.cached, first[0])
	}
}

func TestMemoryLimitsTheBatch(t *testing.T) {
	b := testBatch(8, 10)
	s := []*sequence{testSequence(b, text("a", 64), 1, 0), testSequence(b, text("b", 64), 1, 0), testSequence(b, text("c", 64), 1, 0)}
	_, last := runUntilIdle(b, s...) // each takes 4 blocks for its prompt and 1 for its answer
	if last[0] != last[1] || last[2] <= last[1] || b.reserved != 0 || b.cache.Len() > 10 {
		t.Fatalf("ended at %v, %d blocks reserved, %d cached", last, b.reserved, b.cache.Len())
	}
}

func TestCancelledSequenceLeavesTheBatch(t *testing.T) {
	b := testBatch(1, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	gone := &sequence{ctx: ctx, prompt: text("a", 10), tokens: 100}
	b.add(gone)
	b.step()
	b.finish()
	cancel()
	next := testSequence(b, text("b", 10), 1, 0)
	_, last := runUntilIdle(b, next)
	if gone.generated != 1 || last[0] != 12*time.Millisecond {
		t.Fatalf("the cancelled sequence generated %d tokens, the next one ended after %s", gone.generated, last[0])
	}
}

// TestPrefixCacheAgainstList compares the cache with a plain list of blocks ordered by last use.
func TestPrefixCacheAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		cache := NewPrefixCache(capacity)
		events := map[Block]int{}
		cache.changed = func(b Block, stored bool) {
			if stored {
				events[b]++
			} else {
				events[b]--
			}
		}
		var oracle []Block // least recently used first
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			chain := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Block { return Block(rapid.IntRange(1, 20).Draw(t, "block")) }), 1, 8, rapid.ID[Block]).Draw(t, "chain")
			hits := 0
			for hits < len(chain) && position(oracle, chain[hits]) >= 0 {
				hits++
			}
			if got := cache.Match(chain); got != hits {
				t.Fatalf("match %v is %d, want %d in %v", chain, got, hits, oracle)
			}
			cache.Store(chain)
			oracle = touch(oracle, chain[:min(len(chain), capacity)], capacity)
			if cache.Len() != len(oracle) {
				t.Fatalf("%d blocks, want %d", cache.Len(), len(oracle))
			}
		}
		for b, n := range events {
			if held := position(oracle, b) >= 0; n != 0 != held || n > 1 {
				t.Fatalf("events of block %d sum to %d, cached: %v", b, n, held)
			}
		}
	})
}

func touch(list, chain []Block, capacity int) []Block {
	for i := len(chain) - 1; i >= 0; i-- {
		if p := position(list, chain[i]); p >= 0 {
			list = append(list[:p:p], list[p+1:]...)
		}
		list = append(list, chain[i])
	}
	return list[max(len(list)-capacity, 0):]
}

func position(list []Block, b Block) int {
	for i, x := range list {
		if x == b {
			return i
		}
	}
	return -1
}
