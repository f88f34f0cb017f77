package standin

import "time"

// Kinds of stand-ins. Any other kind is a plain service.
const (
	KindEngine    = "engine"
	KindEncoder   = "encoder"
	KindRetriever = "retriever"
	KindReranker  = "reranker"
	KindPlain     = "plain"
)

// Options set how a stand-in behaves. The zero value of any field chooses its
// default or switches the feature off.
type Options struct {
	Models ModelOptions  `ini:"-"`      // engine: orders
	Listen string        `ini:"listen"` // address; for a Host's configuration only
	Kind   string        `ini:"kind" required:"true"`
	Seed   int64         `ini:"seed"`  // of service times, lost events and random faults
	Fault  Fault         `ini:"-"`     // in force from the start
	Delay  time.Duration `ini:"delay"` // time until the first byte of an answer, beside queueing; of a pool the median service time

	// Pools: encoder, retriever, reranker and plain.
	Concurrency int           `ini:"concurrency"`  // calls served at a time; zero is no limit
	Sigma       float64       `ini:"sigma"`        // of the log-normal service time; zero makes it constant
	PerKilobyte time.Duration `ini:"per_kilobyte"` // added to the service time per 1,000 bytes of the request

	// Engines.
	TokenDelay    time.Duration `ini:"token_delay"`    // one step of the batch, before the part below
	SequenceDelay time.Duration `ini:"sequence_delay"` // added to a step for each running sequence
	PrefillDelay  time.Duration `ini:"prefill_delay"`  // added to a step for each prompt token computed in it
	Tokens        int           `ini:"tokens"`         // tokens of an answer whose request sets no max_tokens
	MaxBatch      int           `ini:"max_batch"`      // sequences that run at a time
	CacheBlocks   int           `ini:"cache_blocks"`   // memory for prompt prefixes and running sequences
	LoadLag       time.Duration `ini:"load_lag"`       // age of the load that GET /load reports
	EventLag      time.Duration `ini:"event_lag"`      // age at which a cache event is published
	EventLoss     float64       `ini:"event_loss"`     // share of cache events that are never published
	TransferDelay time.Duration `ini:"transfer_delay"` // KV export or import of one block
}

const (
	defaultMaxBatch    = 64
	defaultCacheBlocks = 4096
	defaultTokens      = 16
	// BlockTokens is the size of a prefix cache's block.
	BlockTokens = 16
	// BytesPerToken is the length of prompt text that counts as one token.
	BytesPerToken = 4
	// maxPrefill bounds the prompt tokens of one step (chunked prefill).
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
