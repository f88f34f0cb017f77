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
	pulseSilence = 250 * time.Millisecond
	// pulseDoubt is how long one may stay unanswered until the next goes over another
	// connection: one that is open may have gone silent without its process.
	pulseDoubt = pulseSilence / 2
	// pulseFailures in a row that come at once, as from an address where nobody listens,
	// make a process count as lost: a single one may be a connection that was reset.
	pulseFailures = 2
	// pulseTimeout ends a question that nobody waits for any more.
	pulseTimeout = 2 * time.Second
)

// pulse finds out whether a process lives. It asks on whether or not the questions before
// were answered, so that a silence is noticed pulseSilence after it began, and not after
// the time limits of questions that follow each other.
type pulse struct {
	clock    clockwork.Clock
	address  string
	connect  func() pulseClient
	patience time.Duration // after which a silence counts as a loss

	mu       sync.Mutex
	client   pulseClient
	pending  []time.Time // when the questions were asked that no answer has come after
	failures int         // in a row
	err      error       // of the last one
}

// pulseClient asks over one connection.
type pulseClient interface {
	ask(context.Context) error
	Close()
}

// pingClient asks by pings.
type pingClient struct{ *peer.Client }

func (c pingClient) ask(ctx context.Context) error {
	return c.Call(ctx, peer.MethodPing, Empty{}, nil)
}

func newPulse(clock clockwork.Clock, address string, connect func() pulseClient) *pulse {
	return &pulse{clock: clock, address: address, connect: connect, client: connect(), patience: pulseSilence}
}

// beat asks once more, without waiting for the answer.
func (p *pulse) beat(ctx context.Context) {
	at := p.clock.Now()
	p.mu.Lock()
	if len(p.pending) > 0 && at.Sub(p.pending[0]) > pulseDoubt {
		p.client.Close()
		p.client = p.connect()
	}
	p.pending = append(p.pending, at)
	client := p.client
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
		defer cancel()
		p.note(client, at, client.ask(ctx))
	}()
}

// note takes in how a question ended. A failure over a connection that was given up says
// nothing.
func (p *pulse) note(client pulseClient, at time.Time, err error) {
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
func (p *pulse) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures >= pulseFailures || len(p.pending) > 0 && p.clock.Since(p.pending[0]) > p.patience
}

// silence says for how long no question was answered, and how the last one failed; the error
// is nil where none has.
func (p *pulse) silence() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return 0, p.err
	}
	return p.clock.Since(p.pending[0]), p.err
}

// restart forgets what was asked before: this process has not listened itself.
func (p *pulse) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending, p.failures, p.err = nil, 0, nil
}

func (p *pulse) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client.Close()
}
