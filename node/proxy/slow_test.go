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

// slowStream is a stream to a caller that reads nothing for now.
type slowStream struct{ ahead *spool }

func startSlow(ctx context.Context, h *holdings, whole []byte) *slowStream {
	r, w := io.Pipe() // holds nothing itself
	s := &slowStream{ahead: newSpool(ctx, r, h)}
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
		data, err := s.ahead.next()
		if err == io.EOF {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, data...)
	}
}

// TestSlowCallersLeaveUpstreamsFree has callers read nothing: their upstreams write all the same and end. Later
// each caller gets its whole stream.
func TestSlowCallersLeaveUpstreamsFree(t *testing.T) {
	h := newHoldings(184)
	var streams []*slowStream
	text := func(i int) []byte { return bytes.Repeat([]byte(fmt.Sprintf("%05d ", i)), 4000) }
	for i := range slowCallers {
		streams = append(streams, startSlow(t.Context(), h, text(i)))
	}
	for _, s := range streams {
		<-s.ahead.done
	}
	if got := h.inUse(); got != slowCallers*24_000 {
		t.Fatalf("%d bytes are held", got)
	}
	for i, s := range streams {
		if got := s.read(t); !bytes.Equal(got, text(i)) {
			t.Fatalf("caller %d got %d bytes of %d", i, len(got), len(text(i)))
		}
		s.ahead.drop()
	}
	if got := h.inUse(); got != 0 {
		t.Fatalf("%d bytes are held at the end", got)
	}
}

// TestSlowCallersTakeBoundedMemory has them take more than the process may hold: upstreams wait, nothing is lost,
// and a caller that reads is served.
func TestSlowCallersTakeBoundedMemory(t *testing.T) {
	h := &holdings{limit: 1 << 20}
	whole := bytes.Repeat([]byte("0123456789"), 10_000)
	var streams []*slowStream
	for range slowCallers {
		streams = append(streams, startSlow(t.Context(), h, whole))
	}
	if got := startSlow(t.Context(), h, whole).read(t); !bytes.Equal(got, whole) {
		t.Fatalf("the caller that reads got %d bytes", len(got))
	}
	for _, s := range streams {
		if got := s.read(t); !bytes.Equal(got, whole) {
			t.Fatalf("%d bytes", len(got))
		}
		if used := h.inUse(); used > h.limit+slowCallers*readChunk {
			t.Fatalf("%d bytes are held", used)
		}
	}
}

// TestStreamEndsWithItsCall ends calls whose callers read nothing and whose spools are full.
func TestStreamEndsWithItsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := &holdings{limit: 100}
	s := startSlow(ctx, h, bytes.Repeat([]byte("x"), 50_000))
	cancel()
	s.ahead.drop()
	if got := h.inUse(); got != 0 {
		t.Fatalf("%d bytes are held", got)
	}
}

// TestBodiesTakeBoundedMemory sends large bodies while their upstream answers none: what the process cannot hold
// is refused as not run, and small ones are served.
func TestBodiesTakeBoundedMemory(t *testing.T) {
	b := newBed(t)
	b.service.holdings = &holdings{limit: 3 << 20}
	release, arrived := make(chan struct{}), make(chan struct{}, 16)
	b.upstream("desk", "d1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n > 1000 {
			arrived <- struct{}{}
			<-release
		}
		fmt.Fprint(w, n)
	})
	send := func(size int) int {
		r, err := http.NewRequest(http.MethodPost, b.front.URL+"/reserve/deep/", strings.NewReader(strings.Repeat("x", size)))
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
	for range 3 { // of a megabyte less what is free of each
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
		t.Errorf("status %d of a body for which there is no room", status)
	}
	if status := send(100); status != http.StatusOK {
		t.Errorf("status %d of a small body", status)
	}
	close(release)
	wg.Wait()
	for range 100 { // handlers end after their answers
		if b.service.holdings.inUse() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("bytes are held at the end")
}

// deafCaller is a caller to which nothing can be written any more, though its connection is not known to be
// closed.
type deafCaller struct{ *httptest.ResponseRecorder }

// Write implements http.ResponseWriter.
func (deafCaller) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestCallersFaultIsNoUpstreams has callers take nothing of their streams while a service is rolled out: neither is it
// counted against the version that answered, nor is the upstream passed over, nor is the stream begun elsewhere.
func TestCallersFaultIsNoUpstreams(t *testing.T) {
	b := newBed(t)
	var calls atomic.Int32
	b.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: one\n\n")
	})
	b.service.counter.Update(wire.Rollouts{List: []wire.Rollout{{Service: "llm", Target: "v2", State: wire.RolloutRunning, Order: 1}}})
	r := httptest.NewRequest(http.MethodPost, "/quote/", strings.NewReader("body"))
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer secret")
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the answer ends with %v", p)
			}
		}()
		b.service.ServeHTTP(deafCaller{httptest.NewRecorder()}, r)
	}()
	if got := calls.Load(); got != 1 {
		t.Errorf("%d calls of upstreams", got)
	}
	if counts := b.service.counter.Report(); counts != nil {
		t.Errorf("counted: %+v", counts)
	}
	for _, ep := range b.service.endpoints.by {
		if ep.failures > 0 {
			t.Errorf("%d failures of the upstream", ep.failures)
		}
	}
}
