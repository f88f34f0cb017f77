package peer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/juju/errors"
)

// TestDialSurvivesALostFirstPacket leaves the first two connection attempts without an answer, as a VM does
// that is just starting. The call must succeed with the third attempt, within its own time limit.
func TestDialSurvivesALostFirstPacket(t *testing.T) {
	s := NewServer()
	Handle(s, MethodPing, Ping)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	attempts := 0
	c := NewClient(l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		if attempts++; attempts <= 2 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return DialTCP(ctx, address)
	})
	t.Cleanup(c.Close)
	if err := c.Call(t.Context(), MethodPing, Empty{}, nil); err != nil {
		t.Fatal(err)
	}
	if attempts != 3 {
		t.Fatalf("%d attempts", attempts)
	}
}

// TestRefusalIsNotRepeated dials a closed port, and lets a caller give up. Neither attempt may be repeated.
func TestRefusalIsNotRepeated(t *testing.T) {
	attempts := 0
	refused := func(context.Context, string) (net.Conn, error) {
		attempts++
		return nil, syscall.ECONNREFUSED
	}
	if err := NewClient("127.0.0.1:1", refused).Call(t.Context(), MethodPing, Empty{}, nil); !errors.Is(err, ErrUnreachable) || attempts != 1 {
		t.Fatalf("%v after %d attempts", err, attempts)
	}
	ctx, cancel := context.WithCancel(t.Context())
	hangs := func(attempt context.Context, _ string) (net.Conn, error) {
		attempts++
		cancel()
		<-attempt.Done()
		return nil, attempt.Err()
	}
	if err := NewClient("127.0.0.1:1", hangs).Call(ctx, MethodPing, Empty{}, nil); err == nil || attempts != 2 {
		t.Fatalf("%v after %d attempts", err, attempts)
	}
}
