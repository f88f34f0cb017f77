package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stopped is a reader of standard output that has stopped.
type stopped struct {
	hangs   chan struct{} // receives a value with each write
	release chan struct{}
	bytes.Buffer
}

func newStopped() *stopped {
	return &stopped{hangs: make(chan struct{}, 100), release: make(chan struct{})}
}

func (s *stopped) Write(p []byte) (int, error) {
	s.hangs <- struct{}{}
	<-s.release
	return s.Buffer.Write(p)
}

// TestStoppedReaderBlocksNobody logs from many goroutines to a reader that has
// stopped: all return, what waits is bounded, and once the reader goes on it is
// told how many lines it has missed.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	out := newStopped()
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
	if n := strings.Count(got, "\n"); n > queueLines+10 {
		t.Fatalf("%d lines were kept", n)
	}
	for _, kind := range []string{"call refused", "call answered"} {
		if !strings.Contains(got, `msg="lines left out" kind="`+kind+`" count=`) {
			t.Fatalf("nothing says how many lines of %q were left out", kind)
		}
	}
}

// TestFailuresGoFirst lets a reader take what has waited: failures stand before
// successes.
func TestFailuresGoFirst(t *testing.T) {
	out := newStopped()
	log, flush := New(out, "p", "info")
	log.V(Routine).Info("first")
	<-out.hangs // the writer hangs on that line
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
		t.Fatalf("a routine line has another level's name\n%s", got)
	}
}

// TestKindsAreLimited lets one kind flood: another kind still gets its lines, and
// the flood may go on a second later.
func TestKindsAreLimited(t *testing.T) {
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
	if n := admitted("flood", 5000); n != kindBurst {
		t.Fatalf("%d lines of a flood", n)
	}
	if n := admitted("other", 10); n != 10 {
		t.Fatalf("%d of 10 lines beside a flood", n)
	}
	now = now.Add(time.Second)
	if n := admitted("flood", 5000); n != kindPerSecond {
		t.Fatalf("%d lines a second later", n)
	}
}

// TestLongLinesAreCut logs a value that is larger than a line may be.
func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out, "p", "info")
	log.Info("x", "value", strings.Repeat("a", 10*lineBytes))
	flush()
	if out.Len() != lineBytes || !strings.HasSuffix(out.String(), "\n") {
		t.Fatalf("%d bytes", out.Len())
	}
}
