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
	// pulseSilence is how long a question may stay unanswered until its process counts as
	// lost, where no other did lately. Above a pause of a collector and a lost packet's first repeat, 200 ms.
	baseProbeTimeout = 250 * time.Millisecond
	// pulseDoubt is how long one may stay unanswered until the next goes over another
	// connection: one that is open may have gone silent without its process.
	probeReconnectAfter = baseProbeTimeout / 2
	// pulseFailures in a row that come at once, as from an address where nobody listens,
	// make a process count as lost: a single one may be a connection that was reset.
	maxProbeFailures = 2
	// pulseTimeout ends a question that nobody waits for any more.
	probeCallTimeout = 2 * time.Second
)

// pulse finds out whether a process lives. It asks on whether or not the questions before
// were answered, so that a silence is noticed pulseSilence after it began, and not after
// the time limits of questions that follow each other.
type livenessProbe struct {
	clock   clockwork.Clock
	address string
	connect func() probeClient
	timeout time.Duration // after which a silence counts as a loss

	mu       sync.Mutex
	client   probeClient
	pending  []time.Time // when the questions were asked that no answer has come after
	failures int         // in a row
	err      error       // of the last one
}

// pulseClient asks over one connection.
type probeClient interface {
	ping(context.Context) error
	Close()
}

// pingClient asks by pings.
type peerProbeClient struct{ *peer.Client }

func (c peerProbeClient) ping(ctx context.Context) error {
	return c.Call(ctx, peer.MethodPing, Empty{}, nil)
}

func newLivenessProbe(clock clockwork.Clock, address string, connect func() probeClient) *livenessProbe {
	return &livenessProbe{clock: clock, address: address, connect: connect, client: connect(), timeout: baseProbeTimeout}
}

// beat asks once more, without waiting for the answer.
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

// note takes in how a question ended. A failure over a connection that was given up says
// nothing.
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

// lost reports whether the process counts as lost.
func (p *livenessProbe) failed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures >= maxProbeFailures || len(p.pending) > 0 && p.clock.Since(p.pending[0]) > p.timeout
}

// silence says for how long no question was answered, and how the last one failed; the error
// is nil where none has.
func (p *livenessProbe) oldestUnanswered() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return 0, p.err
	}
	return p.clock.Since(p.pending[0]), p.err
}

// restart forgets what was asked before: this process has not listened itself.
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
