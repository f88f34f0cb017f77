package httpstop

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestIncompleteRequestDoesNotDelayTheStop stops a server while the body of a request never ends. Stop must return without any
// deadline of its caller, and the connection must be closed.
func TestIncompleteRequestDoesNotDelayTheStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reading)
		io.Copy(io.Discard, r.Body)
	})}
	go server.Serve(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	<-reading
	if err := Stop(context.Background(), server, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, c) // returns once the connection is closed
}
