package connlimit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// phase is how far a connection's current request has come.
type phase int

const (
	awaitsRequest phase = iota // nothing of a request has arrived
	readsHead
	readsBody
	requestComplete
)

// messageFactor is how many times its bytes a message of a peer takes while it is read: its decoder doubles its buffer.
const messageFactor = 2

// errClosed is the error of a connection that was closed to protect the process.
const errClosed = errors.ConstError("connlimit: the connection was closed as its client holds too much")

// Conn is a connection that counts what its client sends. The lock of its account guards its fields.
type Conn struct {
	net.Conn
	s    *Service
	kind Kind

	phase    phase
	since    time.Time // when it was accepted, or when its last request ended
	held     int64     // bytes for the current request
	requests int       // complete ones
	readAt   time.Time // when bytes of a message were read last
	evicted  bool
	closed   bool

	head   head
	body   int64 // bytes read behind the head
	length int64 // of the body, as the head states it; -1 if it does not
	last   chunk // what was read last, without a head that ended in it

	writeBegan atomic.Int64 // when the write in progress began, in nanoseconds since the Unix epoch; zero if there is none
}

// chunk is the size of what was read at once.
type chunk struct{ bytes, lines int }

func chunkOf(p []byte) chunk { return chunk{len(p), bytes.Count(p, newline)} }

// cost is the memory that it takes at most once it is parsed as a part of a head.
func (c chunk) cost() int64 { return int64(c.bytes) + int64(c.lines)*fieldBytes }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the direction to the client, so that it can read an answer that precedes the end.
func (c *Conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return w.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.s.mu.Lock()
	c.s.remove(c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// charged is what the account holds for the connection: nothing for the first freeBytes, and nothing beside an overdraft.
func (c *Conn) charged() int64 {
	if c == c.s.overdrawn {
		return 0
	}
	return max(0, c.held-freeBytes)
}

// Read implements net.Conn. After the error for a client that holds too much, a server closes the connection without an
// answer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if why, ok := c.note(p[:n]); !ok {
		c.refuse(why)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errClosed}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeBegan.Store(c.s.clock.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.writeBegan.Store(0)
	return n, err
}

// unreadFor returns for how long a write has waited for the client to read.
func (c *Conn) unreadFor(now time.Time) time.Duration {
	began := c.writeBegan.Load()
	if began == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, began))
}

// note counts bytes that were read. If the client may not go on, it says why; without a reason the connection has been closed.
func (c *Conn) note(p []byte) (reason, bool) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.evicted:
		return "", false
	case c.kind == Peers:
		c.phase, c.readAt = readsBody, s.clock.Now()
		return "", s.charge(c, messageFactor*int64(len(p))) && s.awaitLeaving(c)
	case c.head.ended:
		c.last = chunkOf(p)
		return "", c.noteBody(len(p)) && s.awaitLeaving(c)
	}
	c.phase = readsHead
	before := c.head.cost()
	used := c.head.feed(p)
	switch {
	case c.head.emptyLines > maxEmptyLines:
		return reasonEmptyLines, false
	case c.head.bytes > s.maxHead(c.kind):
		return reasonHead, false
	}
	c.last = chunkOf(p[used:])
	return "", s.charge(c, c.head.cost()-before) && c.noteBody(len(p)-used) && s.awaitLeaving(c)
}

// noteBody counts n bytes behind a head. It reports whether the client may go on.
func (c *Conn) noteBody(n int) bool {
	before := c.body
	c.body += int64(n)
	if counted := c.s.bodyBytes[c.kind]; counted > 0 {
		return c.s.charge(c, min(c.body, counted)-min(before, counted))
	}
	return c.s.charge(c, int64(n))
}

// beginRequest notes that the server has read the head of a request. It reports whether there is memory for it.
func (c *Conn) beginRequest(r *http.Request) bool {
	fields := 1
	for _, values := range r.Header {
		fields += len(values)
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	// A head that came together with the request before it was counted in part only.
	if cost := int64(fields) * fieldBytes; !c.s.charge(c, max(0, cost-c.held)) {
		return false
	}
	c.phase, c.head.ended, c.length = readsBody, true, r.ContentLength
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		c.completeRequest()
		return true
	}
	r.Body = &bodyReader{ReadCloser: r.Body, c: c}
	return true
}

// completeRequest notes that the current request has arrived whole.
func (c *Conn) completeRequest() {
	if c.phase == readsBody {
		c.phase = requestComplete
		c.requests++
	}
}

// bodyReader notes the end of a body.
type bodyReader struct {
	io.ReadCloser
	c *Conn
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.c.s.mu.Lock()
		b.c.completeRequest()
		b.c.s.mu.Unlock()
	}
	return n, err
}

// stateChanged follows the states of a server's connection.
func (c *Conn) stateChanged(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	// What was read behind the body, if anything, belongs to the next head. The length of a body in chunks is not known here.
	next := chunk{}
	if c.length < 0 || c.body > c.length {
		next = c.last
	}
	c.endRequest()
	c.s.charge(c, next.cost())
}

// endRequest frees what is held for the current request. The connection awaits another one.
func (c *Conn) endRequest() {
	c.s.charge(c, -c.held)
	c.s.endOverdraft(c)
	c.phase, c.since = awaitsRequest, c.s.clock.Now()
	c.head, c.body, c.length, c.last = head{}, 0, 0, chunk{}
}

// BeginMessage frees what was held for the message before. It is for protocols that the server of package net/http does not
// speak.
func (c *Conn) BeginMessage() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.endRequest()
}

// EndMessage notes that a message has arrived whole.
func (c *Conn) EndMessage() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.completeRequest()
}

// MaxMessageBytes returns how large a message may be, given the limit that holds where there is memory enough. One that is
// larger than the account, with what its decoder takes, is read while no other one is.
func (c *Conn) MaxMessageBytes(limit int64) int64 { return min(limit, c.s.limit) }

// headTooLargeAnswer says that the request has not run: its head was never read whole.
const headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuse ends a connection whose client may not go on. A client that sends a request with too large a head gets an answer; it
// is read for a while, as a reset could overtake the answer.
func (c *Conn) refuse(why reason) {
	if why == "" {
		return
	}
	c.s.mu.Lock()
	c.s.noteClosed(c.kind, why, c.s.clock.Now())
	c.s.mu.Unlock()
	if why == reasonHead {
		c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := io.WriteString(c.Conn, headTooLargeAnswer); err == nil && c.CloseWrite() == nil {
			io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscarded))
		}
	}
	reset(c.Conn)
}

// maxDiscarded is how many bytes are read of a client that was refused.
const maxDiscarded = 256 << 10
