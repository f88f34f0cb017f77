package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/node/peer"
)

const (
	// baseProbeTimeout is how long a probe may stay unanswered before its process is considered failed, if
	// none was recently. It is above a garbage collection pause and the first retransmission of a lost packet
	// (200 ms).
	baseProbeTimeout = 250 * time.Millisecond
	// probeReconnectAfter is how long a probe may stay unanswered before the next one uses a new connection:
	// the connection may be dead while the process is alive.
	probeReconnectAfter = baseProbeTimeout / 2
	// maxProbeFailures is the number of consecutive immediate failures, such as refused connections, after
	// which a process is considered failed. A single one may be a connection reset.
	maxProbeFailures = 2
	// probeCallTimeout ends the call of a probe whose answer is no longer needed.
	probeCallTimeout = 2 * time.Second
)

// livenessProbe detects whether a process is alive. It sends probes without waiting for earlier answers, so
// that a failure is detected baseProbeTimeout after it occurred, rather than after the timeouts of
// consecutive calls.
type livenessProbe struct {
	clock   clockwork.Clock
	address string
	connect func() probeClient
	timeout time.Duration // a process that answers no probe for this long is considered failed

	mu       sync.Mutex
	client   probeClient
	pending  []time.Time // send times of the probes that neither they nor a later one got an answer to
	failures int         // consecutive
	err      error       // of the last failure; nil after an answer
}

// probeClient sends probes over one connection.
type probeClient interface {
	ping(context.Context) error
	Close()
}

// peerProbeClient probes with the peer protocol's ping.
type peerProbeClient struct{ *peer.Client }

func (c peerProbeClient) ping(ctx context.Context) error {
	return c.Call(ctx, peer.MethodPing, Empty{}, nil)
}

func newLivenessProbe(clock clockwork.Clock, address string, connect func() probeClient) *livenessProbe {
	return &livenessProbe{clock: clock, address: address, connect: connect, client: connect(), timeout: baseProbeTimeout}
}

// send sends a probe without waiting for the answer.
func (p *livenessProbe) send(ctx context.Context) {
	at := p.clock.Now()
	p.mu.Lock()
	if len(p.pending) > 0 && at.Sub(p.pending[0]) > probeReconnectAfter {
		p.client.Close()
		p.client = p.connect()
	}
	p.pending = append(p.pending, at)
	client := p.client
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeCallTimeout)
		defer cancel()
		p.recordResult(client, at, client.ping(ctx))
	}()
}

// recordResult records the result of a probe. Failures on a connection that was replaced are ignored.
func (p *livenessProbe) recordResult(client probeClient, at time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.failures, p.err = 0, nil
		p.pending = slices.DeleteFunc(p.pending, func(asked time.Time) bool { return !asked.After(at) })
	case client == p.client:
		p.failures++
		p.err = err
	}
}

// failed reports whether the process is considered failed.
func (p *livenessProbe) failed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures >= maxProbeFailures || len(p.pending) > 0 && p.clock.Since(p.pending[0]) > p.timeout
}

// oldestUnanswered returns the age of the oldest unanswered probe, and the last failure, or nil if there was
// none.
func (p *livenessProbe) oldestUnanswered() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return 0, p.err
	}
	return p.clock.Since(p.pending[0]), p.err
}

// reset discards earlier probes, after this process was stalled and may have missed answers.
func (p *livenessProbe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending, p.failures, p.err = nil, 0, nil
}

func (p *livenessProbe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.Close()
}
