package standin

import "time"

// Kinds of stand-ins. Every other kind is a plain service.
const (
	KindEngine    = "engine"
	KindEncoder   = "encoder"
	KindRetriever = "retriever"
	KindReranker  = "reranker"
	KindPlain     = "plain"
)

// Options set the behaviour of a stand-in. A zero field selects the default or disables the feature.
type Options struct {
	Models ModelOptions  `ini:"-"`      // orders of engines
	Listen string        `ini:"listen"` // listen address; only in the configuration of a Host
	Kind   string        `ini:"kind" required:"true"`
	Seed   int64         `ini:"seed"`  // seed for service times, lost events and random faults
	Fault  Fault         `ini:"-"`     // injected from the start
	Delay  time.Duration `ini:"delay"` // time to the first byte of an answer, excluding queueing; for pools the median service time

	// Pools: encoder, retriever, reranker and plain.
	Concurrency int           `ini:"concurrency"`  // concurrent calls; zero means no limit
	Sigma       float64       `ini:"sigma"`        // standard deviation of the log of the service time; zero makes it constant
	PerKilobyte time.Duration `ini:"per_kilobyte"` // added to the service time per 1,000 bytes of the request

	// Engines: time of a step is TokenDelay plus the two delays below it.
	TokenDelay    time.Duration `ini:"token_delay"`    // base time of a step
	SequenceDelay time.Duration `ini:"sequence_delay"` // per running sequence
	PrefillDelay  time.Duration `ini:"prefill_delay"`  // per prompt token computed in the step
	Tokens        int           `ini:"tokens"`         // length of an answer if the request sets no max_tokens
	MaxBatch      int           `ini:"max_batch"`      // concurrent sequences
	CacheBlocks   int           `ini:"cache_blocks"`   // memory for cached prefixes and running sequences, in blocks
	LoadLag       time.Duration `ini:"load_lag"`       // age of the load reported by GET /load
	EventLag      time.Duration `ini:"event_lag"`      // delay before a cache event is published
	EventLoss     float64       `ini:"event_loss"`     // share of cache events that are never published
	TransferDelay time.Duration `ini:"transfer_delay"` // KV export or import, per block
}

const (
	defaultMaxBatch    = 64
	defaultCacheBlocks = 4096
	defaultTokens      = 16
	// BlockTokens is the block size of the prefix cache, in tokens.
	BlockTokens = 16
	// BytesPerToken is the number of bytes of prompt text per token.
	BytesPerToken = 4
	// maxPrefill limits the prompt tokens computed in one step (chunked prefill).
	maxPrefill = 512
)

func (o Options) withDefaults() Options {
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Tokens == 0 {
		o.Tokens = defaultTokens
	}
	return o
}
