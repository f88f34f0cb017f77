package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// silentClient lets the test answer the probes.
type silentClient struct {
	asked  chan struct{}
	answer chan error
}

func (c *silentClient) ping(ctx context.Context) error {
	c.asked <- struct{}{}
	select {
	case err := <-c.answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *silentClient) Close() {}

// probeHarness is a livenessProbe whose probes the test answers.
type probeHarness struct {
	*livenessProbe
	t       *testing.T
	clock   *clockwork.FakeClock
	clients []*silentClient
}

func newProbeHarness(t *testing.T) *probeHarness {
	b := &probeHarness{t: t, clock: clockwork.NewFakeClock()}
	b.livenessProbe = newLivenessProbe(b.clock, "owner", func() probeClient {
		c := &silentClient{make(chan struct{}), make(chan error)}
		b.clients = append(b.clients, c)
		return c
	})
	return b
}

func (b *probeHarness) newest() *silentClient { return b.clients[len(b.clients)-1] }

// sendAndAdvance sends a probe and advances the clock to the next one.
func (b *probeHarness) sendAndAdvance() {
	b.send(b.t.Context())
	<-b.newest().asked
	b.clock.Advance(probeInterval)
}

// waitUnanswered waits until the given number of probes is unanswered.
func (b *probeHarness) waitUnanswered(want int) {
	for {
		b.mu.Lock()
		n := len(b.pending)
		b.mu.Unlock()
		if n == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestProbeOfSilentProcess probes a process that does not answer. It must be considered failed within
// baseProbeTimeout and one interval, but not before the first retransmission of a lost packet.
func TestProbeOfSilentProcess(t *testing.T) {
	b := newProbeHarness(t)
	began := b.clock.Now()
	for !b.failed() {
		if b.sendAndAdvance(); b.clock.Since(began) > time.Second {
			t.Fatal("it is not considered failed")
		}
	}
	if took := b.clock.Since(began); took <= 200*time.Millisecond || took > baseProbeTimeout+probeInterval {
		t.Fatalf("considered failed after %s", took)
	}
}

// TestProbeOfSlowAnswers delays each answer by 200 ms, as a link does that loses one packet at a time. The
// process must not be considered failed.
func TestProbeOfSlowAnswers(t *testing.T) {
	b := newProbeHarness(t)
	at := []time.Time{}
	for range 100 {
		at = append(at, b.clock.Now())
		b.sendAndAdvance()
		if len(at) > 4 {
			b.recordResult(b.newest(), at[0], nil)
			at = at[1:]
		}
		if b.failed() {
			t.Fatal("it is considered failed")
		}
	}
}

// TestProbeOverAnotherConnection lets the connection die while the process is alive. The next probes must use
// another connection, and the process must not be considered failed.
func TestProbeOverAnotherConnection(t *testing.T) {
	b := newProbeHarness(t)
	for len(b.clients) == 1 {
		b.sendAndAdvance()
	}
	b.newest().answer <- nil
	b.waitUnanswered(0)
	if b.failed() {
		t.Fatal("it is considered failed")
	}
}

// TestProbeOfClosedPort lets probes fail immediately. One failure is not enough, two are, and an answer
// between them resets the count.
func TestProbeOfClosedPort(t *testing.T) {
	refused := errors.New("connection refused")
	b := newProbeHarness(t)
	for _, step := range []struct {
		err  error
		lost bool
	}{{refused, false}, {nil, false}, {refused, false}, {refused, true}} {
		b.recordResult(b.newest(), b.clock.Now(), step.err)
		if b.failed() != step.lost {
			t.Fatalf("after %v: failed %v", step.err, !step.lost)
		}
		if _, err := b.oldestUnanswered(); err != step.err {
			t.Fatalf("the last failure is %v, want %v", err, step.err)
		}
	}
}

// TestProbeAfterAStall resets the probe after a stall of the probing process, which must not count as silence
// of the probed one.
func TestProbeAfterAStall(t *testing.T) {
	b := newProbeHarness(t)
	b.sendAndAdvance()
	b.clock.Advance(time.Minute)
	b.reset()
	if b.failed() {
		t.Fatal("it is considered failed")
	}
}
