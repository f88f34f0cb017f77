package upstream

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// silentVar counts calls whose connection was closed since it had gone silent.
var silentVar = expvar.NewInt("upstream_connections_silent")

// SilenceCheck says when the connection of a call is checked for silence: it is open and carries nothing more, while new
// ones work. The zero value means never.
type SilenceCheck struct {
	After time.Duration // since when nothing was received
	Path  string        // which the upstream answers at once, however busy it is
	// MaxConnections bounds the connections to the upstream, that of the check included; zero is no limit. At the bound
	// nothing is checked.
	MaxConnections int
}

// healthTimeout is how long an upstream may take for a health check that proves its connection silent.
const healthTimeout = 300 * time.Millisecond

// reads records what a connection receives.
type reads struct {
	mu      sync.Mutex
	opened  time.Time // zero while there is no connection yet
	waiting time.Time // since when a read waits for bytes; zero if none does
	last    time.Time // when bytes were received last
	silent  bool      // closed since it has gone silent
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	c.reads.mu.Lock()
	c.reads.waiting = time.Now()
	c.reads.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.reads.mu.Lock()
	defer c.reads.mu.Unlock()
	c.reads.waiting = time.Time{}
	if n > 0 {
		c.reads.last = time.Now()
	}
	if err != nil && c.reads.silent {
		err = errSilent
	}
	return n, err
}

// errSilent ends an answer whose connection carried nothing more.
const errSilent = errors.ConstError("upstream: the connection has gone silent")

// endSilent has reads fail with errSilent from now on.
func (r *reads) endSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

func (r *reads) waitingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting
}

// open records that the connection was made.
func (r *reads) open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = time.Now()
}

// receivedAfter reports whether the connection was open at the given time and has received bytes since.
func (r *reads) receivedAfter(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened.Before(at) && r.last.After(at)
}

// watchSilence closes the connection once it is found silent, until the returned function is called.
func (c *conn) watchSilence(check SilenceCheck) (stop func()) {
	if check.After <= 0 || check.Path == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		next := check.After
		for {
			select {
			case <-time.After(next):
			case <-ctx.Done():
				return
			}
			since := c.reads.waitingSince()
			if next = check.After - time.Since(since); since.IsZero() {
				next = check.After
			}
			if next > 0 {
				continue
			}
			if c.silent(ctx, since, check) {
				silentVar.Add(1)
				c.reads.endSilent()
				c.pool.CloseIdle(c.address)
				c.Close()
				return
			}
			next = check.After
		}
	}()
	return cancel
}

// silent reports whether the connection has gone silent: since the given time nothing was received over it or any other
// connection to the upstream that was open then, but the upstream answers at once over a new one. One that pauses this
// answer alone still sends on others.
func (c *conn) silent(ctx context.Context, since time.Time, check SilenceCheck) bool {
	if c.pool.receivedAfter(c.address, since) || !c.pool.answers(ctx, c.address, check) {
		return false
	}
	return c.reads.waitingSince().Equal(since) && !c.pool.receivedAfter(c.address, since)
}

// receivedAfter reports whether a connection to the address that was open at the given time has received bytes since.
func (p *Pool) receivedAfter(address string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open[address] {
		if c.reads.receivedAfter(at) {
			return true
		}
	}
	return false
}

// answers reports whether the upstream answers a health check over a new connection within healthTimeout.
func (p *Pool) answers(ctx context.Context, address string, check SilenceCheck) bool {
	ctx, cancel := context.WithTimeout(ctx, p.healthTimeout)
	defer cancel()
	c, err := p.get(ctx, address, check.MaxConnections, true)
	if err != nil {
		return false
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", check.Path, address); err != nil {
		return false
	}
	c.head.begin()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	return err == nil && wire.CheckResponseHead(resp.StatusCode, resp.Header) == nil
}
