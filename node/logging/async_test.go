package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a stream whose Write blocks until release is closed.
type blockedWriter struct {
	writing chan struct{} // receives a value when a Write starts
	release chan struct{}
	bytes.Buffer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{writing: make(chan struct{}, 100), release: make(chan struct{})}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.writing <- struct{}{}
	<-s.release
	return s.Buffer.Write(p)
}

// TestBlockedLogWriterDoesNotBlockCallers logs from many goroutines to a blocked stream. All calls
// must return, the queue must stay bounded, and once the stream is unblocked it must get
// the number of dropped lines.
func TestBlockedLogWriterDoesNotBlockCallers(t *testing.T) {
	out := newBlockedWriter()
	log, flush := New(out, "p", "info")
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for i := range 1000 {
				log.Info("call refused", "request", i)
				log.V(Routine).Info("call answered", "request", i)
			}
		})
	}
	wg.Wait()
	close(out.release)
	flush()
	got := out.String()
	if n := strings.Count(got, "\n"); n > maxQueuedLines+10 {
		t.Fatalf("%d lines were queued", n)
	}
	for _, kind := range []string{"call refused", "call answered"} {
		if !strings.Contains(got, `msg="lines dropped" kind="`+kind+`" count=`) {
			t.Fatalf("no line reports the number of dropped lines of %q", kind)
		}
	}
}

// TestFailuresAreWrittenFirst checks that queued failures are written before queued routine lines.
func TestFailuresAreWrittenFirst(t *testing.T) {
	out := newBlockedWriter()
	log, flush := New(out, "p", "info")
	log.V(Routine).Info("first")
	<-out.writing // the writer blocks on this line
	for i := range 5 {
		log.V(Routine).Info("call answered", "request", i)
		log.Info("call refused", "request", i)
	}
	close(out.release)
	flush()
	got := out.String()
	if strings.LastIndex(got, "call refused") > strings.Index(got, "call answered") {
		t.Fatalf("got\n%s", got)
	}
	if strings.Contains(got, "DEBUG") {
		t.Fatalf("a routine line has the wrong level name\n%s", got)
	}
}

// TestLinesAreRateLimitedByKind floods the log with one kind of line. Other kinds must still be
// admitted, and the flooding kind again at its rate a second later.
func TestLinesAreRateLimitedByKind(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newWriter(io.Discard, func() time.Time { return now })
	defer w.Close()
	admitted := func(kind string, n int) int {
		count := 0
		for range n {
			if w.admit(kind) {
				count++
			}
		}
		return count
	}
	if n := admitted("flood", 5000); n != kindBurstLines {
		t.Fatalf("%d lines of a flood admitted", n)
	}
	if n := admitted("other", 10); n != 10 {
		t.Fatalf("%d of 10 lines of another kind admitted during a flood", n)
	}
	now = now.Add(time.Second)
	if n := admitted("flood", 5000); n != kindLinesPerSecond {
		t.Fatalf("%d lines of a flood admitted a second later", n)
	}
}

// TestLongLinesAreCut logs a value longer than the maximum line.
func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out, "p", "info")
	log.Info("x", "value", strings.Repeat("a", 10*maxLineBytes))
	flush()
	if out.Len() != maxLineBytes || !strings.HasSuffix(out.String(), "\n") {
		t.Fatalf("the line has %d bytes", out.Len())
	}
}
