package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Framing is how a response states where its body ends (RFC 9112, section 6.3).
type Framing string

// Values of Framing.
const (
	FramedByLength Framing = "length" // also a response that has no body
	FramedByChunks Framing = "chunked"
	FramedByClose  Framing = "close" // the body ends with its connection
)

// Ending is the verdict on how a response ended. Whoever has to know whether a response is whole asks for it, as the
// end of a body alone does not say so. Its text is a label of metrics and logs.
type Ending string

// Values of Ending.
const (
	EndedWhole       Ending = "whole"        // the framing states the end, and no event is incomplete
	EndedClosed      Ending = "closed"       // closed in order between two events, and the upstream still runs; the framing states no end
	EndedUnproven    Ending = "unproven"     // the same, but it is unknown whether the upstream still runs
	EndedCrashed     Ending = "crashed"      // the same, and the upstream's process is gone
	EndedInsideEvent Ending = "inside-event" // the body ends within an event, whatever the framing says
	EndedCut         Ending = "cut"          // the connection broke before the end that the framing states, or was reset
	EndedTooLarge    Ending = "too-large"    // this process stopped reading at a limit
	EndedAbandoned   Ending = "abandoned"    // the caller left, or the deadline passed, before the end
)

// Complete reports whether the caller may get the response as a whole one.
func (e Ending) Complete() bool {
	return e == EndedWhole || e == EndedClosed || e == EndedUnproven
}

// BrokenOff reports whether the upstream failed to complete the response.
func (e Ending) BrokenOff() bool {
	return e == EndedCrashed || e == EndedInsideEvent || e == EndedCut
}

// Survived reports whether the upstream's process is known to have outlived the call.
func (e Ending) Survived() bool { return e == EndedWhole || e == EndedClosed }

// ProcessState is what is known of an upstream's process.
type ProcessState int

// Values of ProcessState.
const (
	ProcessUnknown ProcessState = iota
	ProcessListens
	ProcessGone // nothing listens at its address
)

const (
	maxProbes     = 5
	probeInterval = 10 * time.Millisecond
	// probeHold is how long a probe's connection has to stay open, and leavingProbeHold that to an upstream that leaves,
	// of which it is likely that it has just ended: the kernel takes some time from the end of a process's first connection
	// to that of its listener.
	probeHold        = 20 * time.Millisecond
	leavingProbeHold = 150 * time.Millisecond
)

// Probe connects to the address of an upstream, which leaves or not, and tells whether a process listens there. It takes at
// most dialTimeout, besides the repeats: the kernel may accept connections to a process that is ending, and resets them once
// it closes the listener.
func Probe(address string, leaving bool) ProcessState {
	hold := probeHold
	if leaving {
		hold = leavingProbeHold
	}
	return processState(probeWithin(address, hold))
}

// dialAndHold connects to an address and returns syscall.ECONNRESET unless the connection stays open for the given time.
func dialAndHold(address string, hold time.Duration) error {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(hold))
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return syscall.ECONNRESET
	}
	return nil
}

func probeWithin(address string, hold time.Duration) error {
	return probe(func() error { return dialAndHold(address, hold) }, func() { time.Sleep(probeInterval) })
}

func probe(dial func() error, pause func()) error {
	err := dial()
	for n := 1; n < maxProbes && errors.Is(err, syscall.ECONNRESET); n++ {
		pause()
		err = dial()
	}
	return err
}

func processState(err error) ProcessState {
	switch {
	case err == nil:
		return ProcessListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProcessGone
	default:
		return ProcessUnknown
	}
}

// BodyEnd describes the end of a response's body, as its reader saw it.
type BodyEnd struct {
	Err         error // with which reading ended; io.EOF or nil at the end of the body
	Abandoned   bool  // the caller left or the deadline passed
	TooLarge    bool
	InsideEvent bool // of a stream: it ended within an event
	NoEvent     bool // of a stream: it had no event at all
}

// Ending returns the verdict on a response that ended as b says; see EndingOf. The connection of a response that was
// broken off is not used again.
func (r *Response) Ending(b BodyEnd, process func() ProcessState) Ending {
	e := r.sendFailure(b)
	if e == "" {
		e = EndingOf(r.resp, b, process)
	}
	r.noReuse = r.noReuse || e.BrokenOff()
	return e
}

// sendFailure returns the verdict on a response without a stated end that has ended although its request was not sent whole:
// the kernel reports a broken connection only once, and has told it to the sender. An upstream that reads on lets the sender
// come to its end. It returns an empty verdict for other responses.
func (r *Response) sendFailure(b BodyEnd) Ending {
	if b.TooLarge || b.Err != nil && b.Err != io.EOF || r.Framing() != FramedByClose || r.awaitSent() == nil {
		return ""
	}
	if b.Abandoned || r.ctxErr() != nil {
		return EndedAbandoned
	}
	return EndedCut
}

// EndingOf returns the verdict on a response that ended as b says. process is called only if nothing else tells whether
// the response is complete.
func EndingOf(resp *http.Response, b BodyEnd, process func() ProcessState) Ending {
	switch {
	case b.TooLarge:
		return EndedTooLarge
	case b.Err != nil && b.Err != io.EOF && b.Abandoned:
		return EndedAbandoned
	case b.Err != nil && b.Err != io.EOF:
		return EndedCut
	case b.InsideEvent:
		return EndedInsideEvent
	case FramingOf(resp) != FramedByClose:
		return EndedWhole
	case b.NoEvent:
		return EndedCut // a stream has at least one event
	}
	switch process() {
	case ProcessListens:
		return EndedClosed
	case ProcessGone:
		return EndedCrashed
	default:
		return EndedUnproven
	}
}

// Framing returns how the response states where its body ends.
func (r *Response) Framing() Framing { return FramingOf(r.resp) }

// FramingOf returns how the response states where its body ends.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByClose
	}
}
