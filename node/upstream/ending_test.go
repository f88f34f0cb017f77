package upstream

import (
	"net"
	"syscall"
	"testing"
)

// TestProbeOfAnEndingProcess guards against a process whose state stays unknown, since it is just ending and resets the
// connection.
func TestProbeOfAnEndingProcess(t *testing.T) {
	reset := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNRESET}
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		results []error
		want    ProcessState
	}{
		"ends":            {[]error{reset, reset, refused}, ProcessGone},
		"starts again":    {[]error{reset, nil}, ProcessListens},
		"resets for ever": {[]error{reset, reset, reset, reset, reset}, ProcessUnknown},
		"gone":            {[]error{refused}, ProcessGone},
		"listens":         {[]error{nil}, ProcessListens},
		"unreachable":     {[]error{syscall.EHOSTUNREACH}, ProcessUnknown},
	} {
		dials := 0
		got := processState(probe(func() error { dials++; return c.results[dials-1] }, func() {}))
		if got != c.want || dials != len(c.results) {
			t.Errorf("%s: %v after %d attempts", name, got, dials)
		}
	}
}
