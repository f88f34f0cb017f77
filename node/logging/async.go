package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// queueLines and lineBytes bound the memory of lines that wait for a reader:
	// 2 MiB at most.
	queueLines = 1024
	lineBytes  = 2 << 10
	// kindPerSecond and kindBurst bound the lines of one kind. A process of the
	// sizes in use serves some 30 calls a second; at three times that, every call
	// still has its line.
	kindPerSecond = 100
	kindBurst     = 300
	reportEvery   = time.Second
)

// Writer writes lines to a stream that may be slow or stopped, on a goroutine of
// its own. It never blocks its callers: lines that find no place are left out and
// counted, and the count is written as a line of its own. Lines of failures go
// before those of successes.
type Writer struct {
	out io.Writer

	mu     sync.Mutex
	urgent [][]byte // failures and changes of belief
	usual  [][]byte
	left   map[string]int // lines left out, by kind
	kinds  map[string]*rate
	wake   chan struct{}
	closed bool
	done   chan struct{}
	now    func() time.Time
	report time.Time
}

// rate is a token bucket of one kind of line.
type rate struct {
	tokens float64
	at     time.Time
}

// NewWriter returns a writer to out. Close must be called.
func NewWriter(out io.Writer) *Writer { return newWriter(out, time.Now) }

func newWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, left: map[string]int{}, kinds: map[string]*rate{}, wake: make(chan struct{}, 1), done: make(chan struct{}), now: now, report: now()}
	go w.run()
	return w
}

// admit reports whether a line of the kind may be written now, and counts it as
// left out otherwise.
func (w *Writer) admit(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	r := w.kinds[kind]
	if r == nil {
		r = &rate{tokens: kindBurst, at: now}
		w.kinds[kind] = r
	}
	r.tokens = min(r.tokens+now.Sub(r.at).Seconds()*kindPerSecond, kindBurst)
	r.at = now
	if r.tokens < 1 {
		w.left[kind]++
		return false
	}
	r.tokens--
	return true
}

// add queues a line. It does not block.
func (w *Writer) add(kind string, urgent bool, line []byte) {
	if len(line) > lineBytes {
		line = append(line[:lineBytes-1:lineBytes-1], '\n')
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := &w.usual
	if urgent {
		queue = &w.urgent
	}
	if len(*queue) >= queueLines/2 || w.closed {
		w.left[kind]++
		return
	}
	*queue = append(*queue, line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		batch, closed := w.take()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				continue // there is nowhere left to say so
			}
			continue
		}
		if closed {
			return
		}
		<-w.wake
	}
}

// take returns what waits, failures first, and what was left out if a report is
// due.
func (w *Writer) take() (batch []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b bytes.Buffer
	for _, line := range w.urgent {
		b.Write(line)
	}
	for _, line := range w.usual {
		b.Write(line)
	}
	w.urgent, w.usual = nil, nil
	if now := w.now(); len(w.left) > 0 && (now.Sub(w.report) >= reportEvery || w.closed) {
		w.report = now
		for kind, n := range w.left {
			b.WriteString("time=" + now.UTC().Format(time.RFC3339Nano) + ` level=INFO msg="lines left out" kind=` + strconv.Quote(kind) + " count=" + strconv.Itoa(n) + "\n")
		}
		clear(w.left)
	}
	return b.Bytes(), w.closed
}

// closeTime bounds the wait for a reader that has stopped.
const closeTime = 200 * time.Millisecond

// Close writes what waits, as far as the reader takes it.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}

// handler formats lines with slog's text handler and hands them to a Writer.
type handler struct {
	w      *Writer
	inner  slog.Handler
	buffer *lineBuffer
}

// lineBuffer receives one formatted line at a time.
type lineBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lineBuffer) Write(p []byte) (int, error) { return l.b.Write(p) }

func newHandler(w *Writer, opts *slog.HandlerOptions) slog.Handler {
	buffer := &lineBuffer{}
	return &handler{w: w, inner: slog.NewTextHandler(buffer, opts), buffer: buffer}
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle implements slog.Handler. A kind of line is its message.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.w.admit(r.Message) {
		return nil
	}
	h.buffer.mu.Lock()
	defer h.buffer.mu.Unlock()
	h.buffer.b.Reset()
	if err := h.inner.Handle(ctx, r); err != nil {
		return err
	}
	h.w.add(r.Message, r.Level != RoutineLevel, bytes.Clone(h.buffer.b.Bytes()))
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{w: h.w, inner: h.inner.WithAttrs(attrs), buffer: h.buffer}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{w: h.w, inner: h.inner.WithGroup(name), buffer: h.buffer}
}
