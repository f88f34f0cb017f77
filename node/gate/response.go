package gate

import (
	"context"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// responseBuffer holds what the upstream sent for one attempt. One goroutine appends; any number read, each
// from its own offset, while it grows and after it ended.
type responseBuffer struct {
	mu      sync.Mutex
	status  int // zero until the upstream's response header arrived
	header  http.Header
	data    []byte
	length  int64
	sum     *xxhash.Digest
	end     string         // end mark; empty while it grows
	failure *verdict.Error // set if it ended incomplete
	dropped bool           // the bytes were evicted; length and end remain
	changed chan struct{}  // closed at the next change; nil while nobody waits
}

func newResponseBuffer() *responseBuffer { return &responseBuffer{} }

func (a *responseBuffer) signal() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// changeChan returns a channel that is closed at the next change.
func (a *responseBuffer) changeChan() <-chan struct{} {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

func (a *responseBuffer) start(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.header = status, header
	a.sum = xxhash.New()
	a.signal()
}

// append adds bytes and returns the new length.
func (a *responseBuffer) append(p []byte) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = append(a.data, p...)
	a.length = int64(len(a.data))
	a.sum.Write(p)
	a.signal()
	return a.length
}

// finish sets the end mark. A nil failure means that the response is complete.
func (a *responseBuffer) finish(failure *verdict.Error) {
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

// drop releases the bytes. Only an ended response may be dropped.
func (a *responseBuffer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data, a.dropped = nil, true
}

// head waits until the upstream has sent a response header or failed.
func (a *responseBuffer) head(ctx context.Context) (status int, header http.Header, failure *verdict.Error, err error) {
	for {
		a.mu.Lock()
		if a.status != 0 || a.end != "" {
			defer a.mu.Unlock()
			return a.status, a.header, a.failure, nil
		}
		grown := a.changeChan()
		a.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
			return 0, nil, nil, ctx.Err()
		}
	}
}

// next waits for bytes after offset. It returns them, together with the end mark if nothing follows them. The
// caller must not modify the bytes.
func (a *responseBuffer) next(ctx context.Context, offset int64) (data []byte, end string, err error) {
	for {
		a.mu.Lock()
		if offset < int64(len(a.data)) || a.end != "" {
			defer a.mu.Unlock()
			return a.data[min(offset, int64(len(a.data))):], a.end, nil
		}
		grown := a.changeChan()
		a.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, "", ctx.Err()
		}
	}
}

// size returns the length so far, the end mark, and whether the bytes were dropped.
func (a *responseBuffer) size() (length int64, end string, dropped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.length, a.end, a.dropped
}

func (a *responseBuffer) checksum() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sum.Sum64()
}
