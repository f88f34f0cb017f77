package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

const slowCallers = 500

// slowStream is a stream whose caller reads nothing until read is called.
type slowStream struct{ buffer *streamBuffer }

func startSlowStream(ctx context.Context, h *memoryBudget, whole []byte) *slowStream {
	r, w := io.Pipe() // unbuffered
	s := &slowStream{buffer: newStreamBuffer(ctx, r, h)}
	go func() {
		for part := whole; len(part) > 0; {
			n, err := w.Write(part[:min(len(part), 1000)])
			if err != nil {
				return
			}
			part = part[n:]
		}
		w.Close()
	}()
	return s
}

func (s *slowStream) read(t *testing.T) []byte {
	var out []byte
	for {
		data, err := s.buffer.next()
		if err == io.EOF {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, data...)
	}
}

// TestSlowCallersLeaveUpstreamsFree has callers read nothing: their upstreams must still be able to write everything and
// end. Afterwards each caller gets its whole stream.
func TestSlowCallersLeaveUpstreamsFree(t *testing.T) {
	h := newMemoryBudget(184)
	var streams []*slowStream
	text := func(i int) []byte { return bytes.Repeat([]byte(fmt.Sprintf("%05d ", i)), 4000) }
	for i := range slowCallers {
		streams = append(streams, startSlowStream(t.Context(), h, text(i)))
	}
	for _, s := range streams {
		<-s.buffer.done
	}
	if got := h.inUse(); got != slowCallers*24_000 {
		t.Fatalf("%d bytes are reserved", got)
	}
	for i, s := range streams {
		if got := s.read(t); !bytes.Equal(got, text(i)) {
			t.Fatalf("caller %d got %d bytes of %d", i, len(got), len(text(i)))
		}
		s.buffer.free()
	}
	if got := h.inUse(); got != 0 {
		t.Fatalf("%d bytes are still reserved at the end", got)
	}
}

// TestSlowCallersTakeBoundedMemory has slow callers exhaust the memory budget: upstreams must wait, nothing may be lost,
// and a caller that reads is served.
func TestSlowCallersTakeBoundedMemory(t *testing.T) {
	h := &memoryBudget{limit: 1 << 20}
	whole := bytes.Repeat([]byte("0123456789"), 10_000)
	var streams []*slowStream
	for range slowCallers {
		streams = append(streams, startSlowStream(t.Context(), h, whole))
	}
	if got := startSlowStream(t.Context(), h, whole).read(t); !bytes.Equal(got, whole) {
		t.Fatalf("the caller that reads got %d bytes", len(got))
	}
	for _, s := range streams {
		if got := s.read(t); !bytes.Equal(got, whole) {
			t.Fatalf("%d bytes", len(got))
		}
		if used := h.inUse(); used > h.limit+slowCallers*readChunkBytes {
			t.Fatalf("%d bytes are reserved", used)
		}
	}
}

// TestStreamEndsWithItsCall cancels a call whose caller reads nothing while the memory budget is exhausted.
func TestStreamEndsWithItsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := &memoryBudget{limit: 100}
	s := startSlowStream(ctx, h, bytes.Repeat([]byte("x"), 50_000))
	cancel()
	s.buffer.free()
	if got := h.inUse(); got != 0 {
		t.Fatalf("%d bytes are reserved", got)
	}
}

// TestBodiesTakeBoundedMemory sends large bodies while their upstream does not answer. A body that exceeds the memory
// budget must be refused as not run, and a small one served.
func TestBodiesTakeBoundedMemory(t *testing.T) {
	f := newFixture(t)
	f.service.memory = &memoryBudget{limit: 3 << 20}
	release, arrived := make(chan struct{}), make(chan struct{}, 16)
	f.upstream("desk", "d1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n > 1000 {
			arrived <- struct{}{}
			<-release
		}
		fmt.Fprint(w, n)
	})
	send := func(size int) int {
		r, err := http.NewRequest(http.MethodPost, f.server.URL+"/reserve/deep/", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "desk.example"
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	var wg sync.WaitGroup
	for range 3 { // of one MiB less uncountedBytes each
		wg.Go(func() {
			if status := send(1 << 20); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	for range 3 {
		<-arrived
	}
	if status := send(1 << 20); status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a body above the memory budget", status)
	}
	if status := send(100); status != http.StatusOK {
		t.Errorf("status %d for a small body", status)
	}
	close(release)
	wg.Wait()
	for range 100 { // handlers return after their responses
		if f.service.memory.inUse() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("bytes are still reserved at the end")
}

// timedOutWriter is a caller that reads nothing while its connection still looks open: every write times out.
type timedOutWriter struct{ *httptest.ResponseRecorder }

// Write implements http.ResponseWriter.
func (timedOutWriter) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestSlowCallerIsNotCountedAgainstUpstream has a caller not read its stream during a rollout. The version that
// answered must not be counted as failed, the upstream must not be avoided, and the stream must not be started
// elsewhere.
func TestSlowCallerIsNotCountedAgainstUpstream(t *testing.T) {
	f := newFixture(t)
	var calls atomic.Int32
	f.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: one\n\n")
	})
	f.service.counter.Update(wire.Rollouts{List: []wire.Rollout{{Service: "llm", Target: "v2", State: wire.RolloutRunning, Order: 1}}})
	r := httptest.NewRequest(http.MethodPost, "/quote/", strings.NewReader("body"))
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer secret")
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the answer ends with %v", p)
			}
		}()
		f.service.ServeHTTP(timedOutWriter{httptest.NewRecorder()}, r)
	}()
	if got := calls.Load(); got != 1 {
		t.Errorf("%d calls of upstreams", got)
	}
	if counts := f.service.counter.Report(); counts != nil {
		t.Errorf("counted: %+v", counts)
	}
	for _, ep := range f.service.endpoints.byStart {
		if ep.failures > 0 {
			t.Errorf("%d failures of the upstream", ep.failures)
		}
	}
}
