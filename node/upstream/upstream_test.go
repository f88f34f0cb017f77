package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
)

// plainProtocol reads only the id of a response, from the header Id.
type plainProtocol struct{ Protocol }

func (plainProtocol) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// script is an upstream that responses the n-th request of each connection with the n-th text, and then closes
// it. It counts connections and requests.
type script struct {
	listener net.Listener
	conns    chan int // requests read on each connection, sent when it ends
}

const closeNow = "close"

func newScript(t *testing.T, responses ...string) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: l, conns: make(chan int, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, responses)
		}
	}()
	return s
}

func (s *script) serveConn(c net.Conn, responses []string) {
	defer c.Close()
	br := bufio.NewReader(c)
	n := 0
	defer func() { s.conns <- n }()
	for _, a := range responses {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		n++
		if a == closeNow {
			return
		}
		io.WriteString(c, a)
	}
	io.Copy(io.Discard, br) // keeps the connection open until the client closes it
}

func textResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (s *script) request(id string) *Request {
	return &Request{Address: s.listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"), ID: id}
}

func call(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestResponseToAnotherCallIsSkipped sends a late second response to the first call before the response to the
// second one, on one connection.
func TestResponseToAnotherCallIsSkipped(t *testing.T) {
	s := newScript(t, textResponse("1", "one"), textResponse("1", "one again")+textResponse("2", "two"))
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	for id, want := range map[string]string{"1": "one"} {
		if got, err := call(t, p, s.request(id)); err != nil || got != want {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if got, err := call(t, p, s.request("2")); err != nil || got != "two" {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestOnlyStrayResponsesMayHaveRun sends only responses to other calls.
func TestOnlyStrayResponsesMayHaveRun(t *testing.T) {
	s := newScript(t, strings.Repeat(textResponse("9", "x"), maxStrayResponses+1))
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	if _, err := call(t, p, s.request("1")); verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Fatalf("%v", err)
	}
}

// TestBytesAfterAResponseEndTheConnection sends extra bytes after a complete response: the next call must use
// a new connection.
func TestBytesAfterAResponseEndTheConnection(t *testing.T) {
	s := newScript(t, textResponse("1", "one")+"more")
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	for range 2 {
		if got, err := call(t, p, s.request("1")); err != nil || got != "one" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := <-s.conns; n != 1 {
		t.Fatalf("%d requests on a connection with stray bytes", n)
	}
}

// TestNoRequestIsSentTwice closes each connection after reading a request: the call fails as may-have-run and
// the upstream has read one request.
func TestNoRequestIsSentTwice(t *testing.T) {
	s := newScript(t, textResponse("1", "one"), closeNow)
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	if _, err := call(t, p, s.request("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, p, s.request("2")); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("%v", err)
	}
	if n := <-s.conns; n != 2 {
		t.Fatalf("%d requests on the first connection", n)
	}
	select {
	case n := <-s.conns:
		t.Fatalf("another connection read %d requests", n)
	default:
	}
}

// TestRefusedConnectionHasNotRun calls an address where no process listens.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	s := newScript(t)
	s.listener.Close()
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	if _, err := call(t, p, s.request("1")); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("%v", err)
	}
	if len(p.open) != 0 {
		t.Fatalf("%v are counted as open", p.open)
	}
}

// TestConnectionsAreLimited holds one connection and requests a second one.
func TestConnectionsAreLimited(t *testing.T) {
	s := newScript(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n")
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	r := s.request("1")
	r.MaxConnections = 1
	first, err := p.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := p.Do(context.Background(), r); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("a second connection: %v", err)
	}
}

// TestBodyCompleteness lists responses and whether their body is complete.
func TestBodyCompleteness(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n"
	cases := map[string]struct {
		response string
		complete bool
	}{
		"content length":                  {textResponse("1", "abc"), true},
		"chunks":                          {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		"end of connection":               {head + "\r\nabc", true},
		"shorter than the content length": {head + "Content-Length: 5\r\n\r\nabc", false},
		"no final chunk":                  {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		"informational first":             {"HTTP/1.1 100 Continue\r\n\r\n" + textResponse("1", "abc"), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, c.response)
				}
			}()
			p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
			got, err := call(t, p, &Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
			if got != "abc" || (err == nil) != c.complete {
				t.Fatalf("%q, %v", got, err)
			}
		})
	}
}

// TestEarlyResponseEndsTheConnection responds before a long body is read: no other request may follow the rest
// of it.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			br := bufio.NewReader(c)
			if _, err := http.ReadRequest(br); err == nil {
				io.WriteString(c, textResponse("1", "early"))
			}
		}
	}()
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	defer p.Close()
	r := &Request{Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Body: make([]byte, 16<<20)}
	for range 2 {
		if got, err := call(t, p, r); err != nil || got != "early" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if len(conns) != 2 {
		t.Fatalf("%d connections for two calls", len(conns))
	}
	for range 2 {
		(<-conns).Close()
	}
}

// TestIdleTimeoutOf lists values of the header Keep-Alive.
func TestIdleTimeoutOf(t *testing.T) {
	cases := map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=5":         5*time.Second - idleMargin,
		"max=3, timeout=20": 20*time.Second - idleMargin,
		"timeout=0":         0,
		"timeout=x":         0,
	}
	for value, want := range cases {
		h := http.Header{}
		if value != "" {
			h.Set("Keep-Alive", value)
		}
		if got := idleTimeoutOf(h); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// TestNewConnectionIsNotReused makes calls that ask for a connection of their own to an upstream that would
// keep it open: none stays open.
func TestNewConnectionIsNotReused(t *testing.T) {
	s := newScript(t, textResponse("1", "one"))
	p := NewPool(plainProtocol{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
	r := s.request("1")
	r.NewConnection = true
	for range 3 {
		if got, err := call(t, p, r); err != nil || got != "one" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if len(p.open) != 0 {
		t.Fatalf("%v are still open", p.open)
	}
}
