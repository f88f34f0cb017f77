package standin

import (
	"sync"
	"time"
)

// RunRecord is the work of a stand-in for one request id.
type RunRecord struct {
	Request   string        `json:"request"`
	Runs      int           `json:"runs"`      // number of times that the request began to run
	Completed int           `json:"completed"` // number of runs with a complete answer
	Longest   time.Duration `json:"longest"`   // longest completed run, nanoseconds
	Held      time.Duration `json:"held"`      // running time over all runs, nanoseconds
}

// Account is the work of a stand-in since the last reset.
type Account struct {
	Name         string        `json:"name"`
	Kind         string        `json:"kind"`
	Held         time.Duration `json:"held"` // running time over all requests, nanoseconds
	PromptTokens int           `json:"prompt_tokens"`
	CachedTokens int           `json:"cached_tokens"`
	Answered     int           `json:"answered"`
	Records      []RunRecord   `json:"records"`
}

// runLog records which requests ran. Requests without an id only count in the sums.
type runLog struct {
	mu      sync.Mutex
	sum     Account
	records map[string]*RunRecord
}

func newRunLog(kind string) *runLog {
	return &runLog{sum: Account{Kind: kind}, records: map[string]*RunRecord{}}
}

func (l *runLog) begin(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[request]
	if r == nil {
		r = &RunRecord{Request: request}
		l.records[request] = r
	}
	r.Runs++
}

func (l *runLog) end(request string, held time.Duration, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Held += held
	r := l.records[request]
	if r == nil {
		return // the log was reset meanwhile
	}
	r.Held += held
	if whole {
		l.sum.Answered++
		r.Completed++
		r.Longest = max(r.Longest, held)
	}
}

func (l *runLog) tokens(prompt, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.PromptTokens += prompt
	l.sum.CachedTokens += cached
}

func (l *runLog) account() Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.sum
	for id, r := range l.records {
		if id != "" {
			out.Records = append(out.Records, *r)
		}
	}
	return out
}

func (l *runLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum = Account{Kind: l.sum.Kind}
	l.records = map[string]*RunRecord{}
}
