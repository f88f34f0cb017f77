package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
)

type echoMessage struct {
	Text string `json:"text"`
}

// TestCancelledCallKeepsTheConnection cancels one of two calls that share a connection. The other one must
// still get its answer.
func TestCancelledCallKeepsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	server := NewServer()
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	Handle(server, "echo", func(_ context.Context, w *echoMessage) (*echoMessage, error) {
		arrived <- struct{}{}
		<-release
		return w, nil
	})
	go server.Serve(l)
	defer server.Close()
	client := NewClient(l.Addr().String(), DialTCP)
	defer client.Close()
	kept := make(chan error, 1)
	var got echoMessage
	go func() { kept <- client.Call(context.Background(), "echo", echoMessage{"a"}, &got) }()
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error, 1)
	go func() { cancelled <- client.Call(ctx, "echo", echoMessage{"b"}, nil) }()
	<-arrived
	cancel()
	if err := <-cancelled; !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled call: %v", err)
	}
	close(release)
	if err := <-kept; err != nil || got.Text != "a" {
		t.Fatalf("other call: %q, %v", got.Text, err)
	}
}

// TestDialDelaysNobodyPastTheirDeadline calls an address whose dial hangs.
func TestDialDelaysNobodyPastTheirDeadline(t *testing.T) {
	dialing, release := make(chan struct{}), make(chan struct{})
	client := NewClient("x", func(context.Context, string) (net.Conn, error) {
		close(dialing)
		<-release
		return nil, errors.New("refused")
	})
	first := make(chan error, 1)
	go func() { first <- client.Call(context.Background(), "echo", echoMessage{}, nil) }()
	<-dialing
	ctx, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	if err := client.Call(ctx, "echo", echoMessage{}, nil); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("second call: %v", err)
	}
	close(release)
	if err := <-first; !errors.Is(err, ErrUnreachable) {
		t.Fatalf("first call: %v", err)
	}
}
