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
	// maxQueuedLines and maxLineBytes bound the memory of queued lines to 2 MiB.
	maxQueuedLines = 1024
	maxLineBytes   = 2 << 10
	// kindLinesPerSecond and kindBurstLines limit the lines of one kind. At the deployment
	// sizes in use, a process serves some 30 calls a second; up to three times that, every
	// call gets its line.
	kindLinesPerSecond = 100
	kindBurstLines     = 300
	dropReportInterval = time.Second
)

// Writer writes lines to a stream that may be slow or blocked, from a goroutine of its own.
// It never blocks its callers: lines that do not fit into the queue or exceed the rate limit
// of their kind are dropped, and a line for each kind reports how many. Failures are written
// before routine lines.
type Writer struct {
	out io.Writer

	mu         sync.Mutex
	urgent     [][]byte // failures and state changes
	routine    [][]byte
	dropped    map[string]int // number of dropped lines, by kind
	buckets    map[string]*tokenBucket
	wake       chan struct{}
	closed     bool
	done       chan struct{}
	now        func() time.Time
	lastReport time.Time
}

// tokenBucket limits the rate of one kind of line.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewWriter returns a writer to out. The caller must call Close.
func NewWriter(out io.Writer) *Writer { return newWriter(out, time.Now) }

func newWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, dropped: map[string]int{}, buckets: map[string]*tokenBucket{}, wake: make(chan struct{}, 1), done: make(chan struct{}), now: now, lastReport: now()}
	go w.run()
	return w
}

// admit reports whether the rate limit of the kind allows a line now. If not, it counts the
// line as dropped.
func (w *Writer) admit(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	r := w.buckets[kind]
	if r == nil {
		r = &tokenBucket{tokens: kindBurstLines, refilledAt: now}
		w.buckets[kind] = r
	}
	r.tokens = min(r.tokens+now.Sub(r.refilledAt).Seconds()*kindLinesPerSecond, kindBurstLines)
	r.refilledAt = now
	if r.tokens < 1 {
		w.dropped[kind]++
		return false
	}
	r.tokens--
	return true
}

// add queues a line, or drops it if the queue is full. It does not block.
func (w *Writer) add(kind string, urgent bool, line []byte) {
	if len(line) > maxLineBytes {
		line = append(line[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := &w.routine
	if urgent {
		queue = &w.urgent
	}
	if len(*queue) >= maxQueuedLines/2 || w.closed {
		w.dropped[kind]++
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
				continue // an error about the log itself cannot be logged
			}
			continue
		}
		if closed {
			return
		}
		<-w.wake
	}
}

// take removes and returns the queued lines, urgent ones first, and the report of dropped
// lines if one is due.
func (w *Writer) take() (batch []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b bytes.Buffer
	for _, line := range w.urgent {
		b.Write(line)
	}
	for _, line := range w.routine {
		b.Write(line)
	}
	w.urgent, w.routine = nil, nil
	if now := w.now(); len(w.dropped) > 0 && (now.Sub(w.lastReport) >= dropReportInterval || w.closed) {
		w.lastReport = now
		for kind, n := range w.dropped {
			b.WriteString("time=" + now.UTC().Format(time.RFC3339Nano) + ` level=INFO msg="lines dropped" kind=` + strconv.Quote(kind) + " count=" + strconv.Itoa(n) + "\n")
		}
		clear(w.dropped)
	}
	return b.Bytes(), w.closed
}

// closeTimeout bounds how long Close waits for a blocked stream.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, waiting at most closeTimeout.
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
	case <-time.After(closeTimeout):
	}
}

// handler formats lines with slog's text handler and passes them to a Writer.
type handler struct {
	w      *Writer
	inner  slog.Handler
	buffer *lineBuffer
}

// lineBuffer holds one formatted line at a time.
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

// Handle implements slog.Handler. The message is the kind of the line.
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
