package standin

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Block identifies a block of a prompt by a hash of the block and everything before it.
type Block uint64

// Blocks returns the chain of complete blocks of a text. Texts with a common prefix have chains with a common
// prefix.
func Blocks(text string) []Block {
	const size = BlockTokens * BytesPerToken
	out := make([]Block, 0, len(text)/size)
	var previous [8]byte
	for ; len(text) >= size; text = text[size:] {
		d := xxhash.New()
		d.Write(previous[:])
		d.WriteString(text[:size])
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], sum)
		out = append(out, Block(sum))
	}
	return out
}

// PromptTokens returns the number of tokens in a text, rounded up.
func PromptTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// PrefixCache is an LRU cache of blocks. It is not safe for concurrent use.
type PrefixCache struct {
	capacity int
	order    *list.List // of Block, most recently used first
	blocks   map[Block]*list.Element
	changed  func(b Block, stored bool) // called when a block is stored or evicted; may be nil
}

// NewPrefixCache returns an empty cache; capacity is in blocks.
func NewPrefixCache(capacity int) *PrefixCache {
	return &PrefixCache{capacity: capacity, order: list.New(), blocks: map[Block]*list.Element{}}
}

// Len returns the number of cached blocks.
func (c *PrefixCache) Len() int { return c.order.Len() }

// Match returns the number of leading blocks of the chain that are cached.
func (c *PrefixCache) Match(chain []Block) int {
	for i, b := range chain {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(chain)
}

// Store caches the chain and marks it as used. The first block is marked last, so that a chain is evicted
// from its end. Only the start of a chain that exceeds the capacity is cached.
func (c *PrefixCache) Store(chain []Block) {
	chain = chain[:min(len(chain), max(c.capacity, 0))]
	for i := len(chain) - 1; i >= 0; i-- {
		b := chain[i]
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.notify(b, true)
	}
	c.Shrink(c.capacity)
}

// Shrink evicts the least recently used blocks until at most n are left.
func (c *PrefixCache) Shrink(n int) {
	for c.order.Len() > max(n, 0) {
		b := c.order.Remove(c.order.Back()).(Block)
		delete(c.blocks, b)
		c.notify(b, false)
	}
}

func (c *PrefixCache) notify(b Block, stored bool) {
	if c.changed != nil {
		c.changed(b, stored)
	}
}
