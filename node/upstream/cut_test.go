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

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
)

// cutUpstream answers each connection's request with what the request's target says: so many bytes of the answer, and then it
// closes the connection, in order or by a reset.
func cutUpstream(t *testing.T, answers map[string]string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				var bytes int
				if _, err := fmt.Sscan(r.URL.Query().Get("bytes"), &bytes); err != nil {
					return
				}
				io.WriteString(c, answers[r.URL.Query().Get("form")][:bytes])
				if r.URL.Query().Get("reset") != "" {
					c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestAnswerThatStopsAnywhereIsNotWhole guards against an answer that counts as whole although its upstream stopped within its
// head, its body or what ends it, whatever the framing and whatever came before it on the connection.
func TestAnswerThatStopsAnywhereIsNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": mine\r\nContent-Type: text/plain\r\n"
	other := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": other\r\nContent-Length: 3\r\n\r\nabc"
	answers := map[string]string{
		"length":        head + "Content-Length: 12\r\n\r\n0123456789ab",
		"no body":       head + "Content-Length: 0\r\n\r\n",
		"chunks":        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n3\r\nabc\r\n0\r\n\r\n",
		"trailers":      head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5\r\n01234\r\n0\r\nX-End: yes\r\n\r\n",
		"until closed":  head + "\r\n", // only its head has an end
		"after interim": "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"after another": other + head + "Content-Length: 0\r\n\r\n",
	}
	address := cutUpstream(t, answers)
	for form, answer := range answers {
		for _, reset := range []string{"", "yes"} {
			t.Run(strings.TrimSpace(form+" "+reset), func(t *testing.T) {
				p := NewPool(Native{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
				whole := func(bytes int) bool {
					target := fmt.Sprintf("/?form=%s&bytes=%d&reset=%s", strings.ReplaceAll(form, " ", "+"), bytes, reset)
					resp, err := p.Do(context.Background(), &Request{Address: address, Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, ID: "mine"})
					if err != nil {
						return false
					}
					defer resp.Close()
					_, err = io.ReadAll(resp.Body)
					return resp.Ending(BodyEnd{Err: err}, func() ProcessState { return ProcessListens }).Complete()
				}
				for bytes := range answer {
					if whole(bytes) {
						t.Fatalf("%d of %d bytes count as whole", bytes, len(answer))
					}
				}
				if reset == "" && !whole(len(answer)) {
					t.Fatal("all bytes do not count as whole")
				}
			})
		}
	}
}
