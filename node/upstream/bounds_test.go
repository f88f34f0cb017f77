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
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// rawUpstream answers a request with the bytes, and repeats tail until the connection is closed. Without a tail it closes the
// connection.
func rawUpstream(t *testing.T, answer, tail string) (address string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(ended)
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, answer)
		for err == nil && tail != "" {
			_, err = io.WriteString(c, tail)
		}
	}()
	return l.Addr().String(), ended
}

// TestHeadWithoutEnd checks that a head, interim responses, or responses to other calls that never end are given up: the
// call may have run, and the connection is closed.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		answer, tail string
		want         error
	}{
		"a line":                  {"", strings.Repeat("x", 1000), errHeadTooLarge},
		"a field":                 {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000), errHeadTooLarge},
		"fields":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n", errHeadTooLarge},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n", errTooManyInterim},
		"other responses":         {"", "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": other\r\nContent-Length: 0\r\n\r\n", errStrayResponses},
		"the body of another one": {"HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": other\r\n\r\n", strings.Repeat("x", 64<<10), errStrayTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := rawUpstream(t, c.answer, c.tail)
			p := NewPool(Native{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
			_, err := p.Do(context.Background(), &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "mine"})
			v := verdict.From(err)
			if err == nil || v.Verdict != verdict.MayHaveRun || !strings.Contains(v.Message, c.want.Error()) {
				t.Fatalf("got %v", err)
			}
			<-closed
		})
	}
}

// TestLargestHeadIsRead checks that the largest head within the bounds is read, whatever its body holds.
func TestLargestHeadIsRead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": mine\r\nConnection: close\r\n"
	lines := head
	for i := range maxHeadLines - 4 {
		lines += fmt.Sprintf("X-%d: v\r\n", i)
	}
	for name, head := range map[string]string{
		"many lines": lines,
		"a long one": head + "X-Long: " + strings.Repeat("x", maxHeadBytes-len(head)-len("X-Long: \r\n\r\n")) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("\n", 2*maxHeadBytes)
			address, _ := rawUpstream(t, head+"\r\n"+body, "")
			p := NewPool(Native{}, NewNotices(logr.Discard(), clockwork.NewRealClock()))
			resp, err := p.Do(context.Background(), &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "mine"})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			if data, err := io.ReadAll(resp.Body); err != nil || string(data) != body {
				t.Fatalf("%d bytes of the body, %v", len(data), err)
			}
		})
	}
}

// TestHeadReaderBound checks that the bound ends with the head.
func TestHeadReaderBound(t *testing.T) {
	h := &headReader{r: strings.NewReader(strings.Repeat("x", 3*maxHeadBytes))}
	h.begin()
	n, err := io.Copy(io.Discard, h)
	if n < maxHeadBytes || n > 2*maxHeadBytes || !errors.Is(err, errHeadTooLarge) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	h.end()
	if _, err := io.Copy(io.Discard, h); err != nil {
		t.Fatal(err)
	}
}
