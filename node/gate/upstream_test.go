package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/settings"
)

// closingUpstream answers the first requests of each connection, then closes it, either after reading the
// next request without answering or before that.
type closingUpstream struct {
	net.Listener
	perConnection int  // requests answered
	runUnanswered bool // run the next request without answering it

	mu          sync.Mutex
	connections int
	runs        map[string]int // by path and body
}

func newClosingUpstream(t *testing.T, perConnection int, runUnanswered bool) *closingUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &closingUpstream{Listener: l, perConnection: perConnection, runUnanswered: runUnanswered, runs: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *closingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	u.mu.Lock()
	u.connections++
	u.mu.Unlock()
	r := bufio.NewReader(conn)
	for range u.perConnection {
		if !u.run(r) {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	if u.runUnanswered {
		u.run(r)
	}
}

func (u *closingUpstream) run(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[req.URL.Path+string(body)]++
	return true
}

// A non-repeatable call runs at most once, whatever its method and headers, when the upstream closes kept
// connections.
func TestUnrepeatableCallsRunOnceOnKeptConnections(t *testing.T) {
	const calls = 60
	for _, readNext := range []bool{true, false} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			for _, body := range []string{"", "order"} {
				t.Run(fmt.Sprintf("%s %q read=%v", method, body, readNext), func(t *testing.T) {
					u := newClosingUpstream(t, 3, readNext)
					s := &Service{set: settings.AgentRole{Upstream: u.Addr().String(), MaxAnswerBytes: 1 << 20}, upstream: newUpstreamClients(), table: newGateModel().table}
					failed := 0
					for i := range calls {
						a := &attempt{method: method, path: fmt.Sprintf("/%d", i), header: http.Header{"Idempotency-Key": {"k"}}, body: []byte(body), response: newResponseBuffer()}
						e := s.call(context.Background(), a)
						u.mu.Lock()
						runs := u.runs[a.path+body]
						u.mu.Unlock()
						switch {
						case runs > 1:
							t.Fatalf("call %d ran %d times", i, runs)
						case e == nil && runs != 1:
							t.Fatalf("call %d was answered without a run", i)
						case e != nil && e.Verdict == verdict.NotRun && runs > 0:
							t.Fatalf("call %d ran and was reported as not run", i)
						case e != nil:
							failed++
						}
					}
					u.mu.Lock()
					defer u.mu.Unlock()
					if body == "" && (failed > 0 || u.connections != calls) {
						t.Errorf("%d of %d calls without a body failed on %d connections", failed, calls, u.connections)
					}
					if body != "" && u.connections > calls/2 {
						t.Errorf("%d connections for %d calls: none is reused", u.connections, calls)
					}
				})
			}
		}
	}
}
