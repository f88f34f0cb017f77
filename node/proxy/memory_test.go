package proxy

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
)

// TestConcurrentAnswersDoNotDeadlock has several large responses arrive at once. The memory budget suffices for
// each, but not for all, and is exhausted when each has a part. All must be delivered, one after another.
func TestConcurrentAnswersDoNotDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			callers = 5
			size    = 700 << 10
		)
		h := &memoryBudget{limit: 1 << 20}
		all := make(chan struct{}) // closed once each caller has a part
		var wg sync.WaitGroup
		for range callers {
			part := make(chan struct{})
			wg.Go(func() {
				mine := callMemory{budget: h}
				defer mine.release()
				r := &responseReader{ctx: t.Context(), r: bytes.NewReader(make([]byte, size)), memory: &mine, uncounted: uncountedBytes}
				if _, err := io.ReadFull(r, make([]byte, size/callers)); err != nil {
					t.Error(err)
				}
				close(part)
				<-all
				rest, err := io.ReadAll(r)
				if err != nil || len(rest) != size-size/callers {
					t.Errorf("%d bytes: %v", len(rest), err)
				}
				if used := h.inUse(); used > h.limit+size {
					t.Errorf("%d bytes are reserved", used)
				}
			})
			<-part
		}
		close(all)
		wg.Wait()
		if got := h.inUse(); got != 0 {
			t.Errorf("%d bytes are still reserved at the end", got)
		}
	})
}
