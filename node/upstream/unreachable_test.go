package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"caperdrum.org/api/verdict"
)

// TestUnreachableUpstreamIsDistinguished distinguishes a VM that does not respond from one that refuses a
// connection, and from a call that had no time to wait. In each case nothing was sent.
func TestUnreachableUpstreamIsDistinguished(t *testing.T) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx   context.Context
		cause error
		want  bool
	}{
		"times out":    {context.Background(), os.ErrDeadlineExceeded, true},
		"TCP gave up":  {context.Background(), syscall.ETIMEDOUT, true},
		"refused":      {context.Background(), syscall.ECONNREFUSED, false},
		"reset":        {context.Background(), syscall.ECONNRESET, false},
		"no time left": {over, os.ErrDeadlineExceeded, false},
	} {
		err := connectError(c.ctx, "10.0.0.9:80", &net.OpError{Op: "dial", Net: "tcp", Err: c.cause})
		if IsUnreachable(err) != c.want {
			t.Errorf("%s: %v", name, IsUnreachable(err))
		}
		if v := verdict.From(err); v.Verdict != verdict.NotRun || v.Code != verdict.CodeUpstreamFailed {
			t.Errorf("%s: %+v", name, v)
		}
	}
	if IsUnreachable(nil) || IsUnreachable(errors.New("dial")) {
		t.Error("an unrelated error counts as unreachable")
	}
}
