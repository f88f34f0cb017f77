package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// silentClient leaves questions to the test.
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

// pulseBed is a pulse whose questions a test answers.
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

// asks asks once and lets the time to the next question pass.
func (b *probeHarness) sendAndAdvance() {
	b.send(b.t.Context())
	<-b.newest().asked
	b.clock.Advance(probeInterval)
}

// unanswered waits until as many questions are unanswered.
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

// TestPulseOfSilentProcess asks a process that does not answer: it counts as lost after
// pulseSilence and one interval, and not before a lost packet's first repeat.
func TestPulseOfSilentProcess(t *testing.T) {
	b := newProbeHarness(t)
	began := b.clock.Now()
	for !b.failed() {
		if b.sendAndAdvance(); b.clock.Since(began) > time.Second {
			t.Fatal("it does not count as lost")
		}
	}
	if took := b.clock.Since(began); took <= 200*time.Millisecond || took > baseProbeTimeout+probeInterval {
		t.Fatalf("lost after %s", took)
	}
}

// TestPulseOfSlowAnswers answers each question 200 ms late, as a link does that loses a
// packet a time: the process is not lost.
func TestPulseOfSlowAnswers(t *testing.T) {
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
			t.Fatal("it counts as lost")
		}
	}
}

// TestPulseOverAnotherConnection lets the connection go silent and not the process: the
// next questions go over another one, and the process is not lost.
func TestPulseOverAnotherConnection(t *testing.T) {
	b := newProbeHarness(t)
	for len(b.clients) == 1 {
		b.sendAndAdvance()
	}
	b.newest().answer <- nil
	b.waitUnanswered(0)
	if b.failed() {
		t.Fatal("it counts as lost")
	}
}

// TestPulseOfClosedPort fails questions at once: one failure is no loss, two are, and an
// answer between them forgets the first.
func TestPulseOfClosedPort(t *testing.T) {
	refused := errors.New("connection refused")
	b := newProbeHarness(t)
	for _, step := range []struct {
		err  error
		lost bool
	}{{refused, false}, {nil, false}, {refused, false}, {refused, true}} {
		b.recordResult(b.newest(), b.clock.Now(), step.err)
		if b.failed() != step.lost {
			t.Fatalf("after %v: lost %v", step.err, !step.lost)
		}
		if _, err := b.oldestUnanswered(); err != step.err {
			t.Fatalf("the last failure is %v, want %v", err, step.err)
		}
	}
}

// TestPulseAfterAPause restarts after a pause of the process that asks: what it did not
// hear meanwhile is no silence.
func TestPulseAfterAPause(t *testing.T) {
	b := newProbeHarness(t)
	b.sendAndAdvance()
	b.clock.Advance(time.Minute)
	b.reset()
	if b.failed() {
		t.Fatal("it counts as lost")
	}
}
