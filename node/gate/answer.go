package gate

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// answer is what an upstream sent for one attempt. One goroutine appends; any
// number read, each from its own offset, while it grows and after it ended.
type answer struct {
	mu          sync.Mutex
	status      int // zero until the upstream's response header came
	contentType string
	data        []byte
	sum         *xxhash.Digest
	end         string         // end mark; empty while it grows
	failure     *verdict.Error // set when it ended without being whole
	grown       chan struct{}  // closed at every change
}

func newAnswer() *answer {
	return &answer{sum: xxhash.New(), grown: make(chan struct{})}
}

func (a *answer) signal() {
	close(a.grown)
	a.grown = make(chan struct{})
}

func (a *answer) start(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.contentType = status, contentType
	a.signal()
}

func (a *answer) append(p []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = append(a.data, p...)
	a.sum.Write(p)
	a.signal()
}

// finish sets the end mark. A nil failure means that the answer is whole.
func (a *answer) finish(failure *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != "" {
		return
	}
	a.end = wire.EndWhole
	if failure != nil {
		a.end, a.failure = string(failure.Code), failure
	}
	a.signal()
}

// head waits until the upstream has answered or failed.
func (a *answer) head(ctx context.Context) (status int, contentType string, failure *verdict.Error, err error) {
	for {
		a.mu.Lock()
		status, contentType, failure = a.status, a.contentType, a.failure
		known, grown := status != 0 || a.end != "", a.grown
		a.mu.Unlock()
		if known {
			return status, contentType, failure, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return 0, "", nil, ctx.Err()
		}
	}
}

// next waits for bytes after offset. It returns them, and the end mark once
// there are no more. The bytes must not be changed.
func (a *answer) next(ctx context.Context, offset int64) (data []byte, end string, err error) {
	for {
		a.mu.Lock()
		if offset <= int64(len(a.data)) {
			data = a.data[offset:]
		}
		end, grown := a.end, a.grown
		a.mu.Unlock()
		if len(data) > 0 {
			return data, "", nil
		}
		if end != "" {
			return nil, end, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, "", ctx.Err()
		}
	}
}

func (a *answer) length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

func (a *answer) checksum() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sum.Sum64()
}

func (a *answer) endMark() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}
