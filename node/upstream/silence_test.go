package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// silentUpstream begins an answer on each connection and sends no more, but answers health checks unless it is stopped.
type silentUpstream struct {
	listener net.Listener
	stopped  bool
	begun    chan net.Conn // connections on which an answer has begun
}

func newSilentUpstream(t *testing.T, stopped bool) *silentUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &silentUpstream{listener: l, stopped: stopped, begun: make(chan net.Conn, 8)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *silentUpstream) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	switch {
	case err != nil:
	case r.URL.Path != "/health":
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nfirst")
		u.begun <- c
	case !u.stopped:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	io.Copy(io.Discard, c)
	c.Close()
}

// begin sends a call and reads what the upstream sends at first.
func (u *silentUpstream) begin(t *testing.T, p *Pool, check SilenceCheck) (r *Response, far net.Conn) {
	t.Helper()
	r, err := p.Do(t.Context(), &Request{Address: u.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", ID: "a", Silence: check})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	if _, err := io.ReadFull(r.Body, make([]byte, len("first"))); err != nil {
		t.Fatal(err)
	}
	return r, <-u.begun
}

func newSilencePool() *Pool {
	return NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
}

// TestAnswerOverASilentConnectionIsCut guards against an answer that waits for its deadline, since its connection carries
// nothing more while new ones work.
func TestAnswerOverASilentConnectionIsCut(t *testing.T) {
	u, p := newSilentUpstream(t, false), newSilencePool()
	r, _ := u.begin(t, p, SilenceCheck{After: 20 * time.Millisecond, Path: "/health"})
	if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, errSilent) {
		t.Fatalf("got %v", err)
	}
}

// awaitRead returns since when the response's connection waits for bytes.
func awaitRead(r *Response) time.Time {
	go r.Body.Read(make([]byte, 1))
	for {
		if at := r.conn.reads.waitingSince(); !at.IsZero() {
			return at
		}
		time.Sleep(time.Millisecond)
	}
}

// TestPausedUpstreamIsNotSilent guards against a call that is taken from an upstream that is stopped, or that pauses it
// while it sends others, and against a check beyond the upstream's limit of connections.
func TestPausedUpstreamIsNotSilent(t *testing.T) {
	for name, c := range map[string]struct {
		stopped, sendsOthers, want bool
		limit                      int
	}{
		"silent":              {false, false, true, 3},
		"stopped":             {true, false, false, 3},
		"sends other answers": {false, true, false, 3},
		"at its limit":        {false, false, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			u, p := newSilentUpstream(t, c.stopped), newSilencePool()
			if !c.stopped {
				p.healthTimeout = time.Minute // only ends a hung test
			}
			other, far := u.begin(t, p, SilenceCheck{})
			r, _ := u.begin(t, p, SilenceCheck{})
			since := awaitRead(r)
			if c.sendsOthers {
				io.WriteString(far, "x")
				if _, err := other.Body.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
			}
			if got := r.conn.silent(context.Background(), since, SilenceCheck{Path: "/health", MaxConnections: c.limit}); got != c.want {
				t.Fatalf("silent: %v", got)
			}
		})
	}
}
