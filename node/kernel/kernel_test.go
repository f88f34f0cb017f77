package kernel

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
)

// slow is a service that does not stop before its context ends.
type slow struct{ stopping chan struct{} }

func (s *slow) Stop(ctx context.Context) error {
	close(s.stopping)
	<-ctx.Done()
	return ctx.Err()
}

// drained is a service that records that it was told of the stop.
type drained struct{ told chan struct{} }

func (d *drained) BeginStop() { close(d.told) }

// TestServicesLearnOfTheStopAtOnce checks that a service which stops slowly does not delay that the others learn of the stop.
func TestServicesLearnOfTheStopAtOnce(t *testing.T) {
	k := New(logr.Discard())
	d, s := &drained{told: make(chan struct{})}, &slow{stopping: make(chan struct{})}
	if err := k.Add(Module{"drained", func() *drained { return d }}, Module{"slow", func() *slow { return s }}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	drainCtx, drainEnds := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) { return drainCtx, drainEnds })
	}()
	stop()
	<-s.stopping // the slow service stops first, as it started last
	<-d.told
	drainEnds()
	if err := <-done; err == nil {
		t.Fatal("the slow service's error is lost")
	}
}
