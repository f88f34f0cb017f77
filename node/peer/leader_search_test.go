package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// fakeLeader is a control process that is the leader, is not the leader, or hangs.
type fakeLeader struct {
	leads, hangs atomic.Bool
	asked        atomic.Int64 // number of calls, without probes for the leader
	arrived      chan struct{}
}

func (l *fakeLeader) handle(ctx context.Context) (*message, error) {
	if l.hangs.Load() {
		<-ctx.Done()
	}
	if !l.leads.Load() {
		return nil, &ErrNotLeader{}
	}
	return &message{"answered"}, nil
}

func (l *fakeLeader) control(t *testing.T) (*LeaderClient, *clockwork.FakeClock) {
	l.arrived = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	s := NewServer()
	Handle(s, MethodCheckLeader, func(context.Context, *message) (*message, error) { return l.handle(ctx) })
	Handle(s, "say", func(context.Context, *message) (*message, error) {
		l.asked.Add(1)
		select {
		case l.arrived <- struct{}{}:
		default:
		}
		return l.handle(ctx)
	})
	address := listen(t, s)
	clock := clockwork.NewFakeClock()
	c := NewLeaderClient([]string{address}, DialTCP)
	c.clock = clock
	t.Cleanup(func() {
		c.Close()
		cancel()
	})
	return c, clock
}

// TestLeaderSearchTimesOut makes calls without a deadline. They must fail when no leader was found for SearchTimeout,
// later ones must fail immediately without being sent, and calls must succeed again once there is a leader.
func TestLeaderSearchTimesOut(t *testing.T) {
	for _, name := range []string{"does not lead", "hangs"} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLeader{}
			l.hangs.Store(name == "hangs")
			c, clock := l.control(t)
			ended := make(chan error, 1)
			go func() { ended <- c.CallLeader(context.Background(), "say", message{}, nil) }()
			<-l.arrived
			if name == "hangs" {
				// Meanwhile, another caller fails to reach the leader.
				short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				c.CallLeader(short, "say", message{}, nil)
				cancel()
			}
			for c.currentSearch() == nil {
				time.Sleep(time.Millisecond)
			}
			clock.Advance(SearchTimeout)
			// A call that hangs may have been accepted; a rejected one was not.
			if err := <-ended; !errors.Is(err, ErrNoLeader) || errors.Is(err, ErrNotAccepted) != (name == "does not lead") {
				t.Fatalf("first call: %v", err)
			}
			before := l.asked.Load()
			if err := c.CallLeader(context.Background(), "say", message{}, nil); !errors.Is(err, ErrNotAccepted) || l.asked.Load() != before {
				t.Fatalf("later call: %v after %d calls", err, l.asked.Load()-before)
			}
			if name == "hangs" {
				return
			}
			l.leads.Store(true)
			for c.searchExpired() {
				time.Sleep(time.Millisecond)
			}
			var got message
			if err := c.CallLeader(context.Background(), "say", message{}, &got); err != nil || got.Text != "answered" {
				t.Fatalf("with a leader: %+v, %v", got, err)
			}
		})
	}
}

// TestCancelledCallReturnsAnError calls with a cancelled context. Since no answer was read, there must be an error.
func TestCancelledCallReturnsAnError(t *testing.T) {
	l := &fakeLeader{}
	c, _ := l.control(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.CallLeader(ctx, "say", message{}, nil); !errors.Is(err, ErrNoLeader) {
		t.Fatalf("got %v", err)
	}
}
