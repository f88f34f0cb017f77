package peer

import (
	"context"
	"net"
	"testing"

	"caperdrum.org/api/verdict"
)

type message struct {
	Text string `json:"text"`
}

// TestCallLeaderOutlivesHandover lets a process lose leadership during a call. The call must be answered by
// its successor.
func TestCallLeaderOutlivesHandover(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeShuttingDown, verdict.CodeNoQuorum} {
		t.Run(string(code), func(t *testing.T) {
			old := serve(t, func() (*message, error) { return nil, verdict.New(verdict.MayHaveRun, code, "no longer leading") })
			next := serve(t, func() (*message, error) { return &message{"answered"}, nil })
			c := NewLeaderClient([]string{old, next}, DialTCP)
			defer c.Close()
			var got message
			if err := c.CallLeader(context.Background(), "say", message{}, &got); err != nil || got.Text != "answered" {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

func serve(t *testing.T, answer func() (*message, error)) string {
	s := NewServer()
	Handle(s, "say", func(context.Context, *message) (*message, error) { return answer() })
	return listen(t, s)
}

func listen(t *testing.T, s *Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String()
}
