package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/state"
)

// followerCluster is a cluster in which another process is the leader.
type followerCluster struct {
	hintCluster
	mu      sync.Mutex
	stamped time.Time // zero if never
}

func (f *followerCluster) Leader() consensus.Peer                    { return consensus.Peer{ID: "a", Address: "a:1"} }
func (f *followerCluster) WaitApplied(context.Context, uint64) error { return nil }

func (f *followerCluster) SetStamp(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stamped = at
}

func (f *followerCluster) StampAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stamped.IsZero() {
		return -1
	}
	return time.Since(f.stamped)
}

// TestConfirmationIsRequestedUntilReceived starts all processes at the same time. A follower must get a
// confirmation soon after its leader has one, since all other processes wait for it, and must then return to
// its normal call rate.
func TestConfirmationIsRequestedUntilReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			confirmed = 1230 * time.Millisecond // when the leader has a confirmation, after the start
			later     = 10 * time.Second
		)
		c := &followerCluster{hintCluster: hintCluster{machine: state.New()}}
		c.view.Store(c.machine.View())
		began := time.Now()
		var calls atomic.Int64
		f := &follower{cluster: c, clock: clockwork.NewRealClock(), wake: make(chan struct{}, 1), pending: map[wire.MemberID]queuedRenewal{}, reported: map[wire.MemberID]uint64{}, onError: func(error) {}}
		f.call = func(context.Context, string, RenewRequest) (*RenewReply, error) {
			calls.Add(1)
			if time.Since(began) < confirmed {
				return nil, errors.New("no confirmation yet")
			}
			return &RenewReply{}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.run(ctx)
		}()
		time.Sleep(confirmed + 2*minForwardGap)
		if age := c.StampAge(); age < 0 {
			t.Errorf("no confirmation %s after the leader got one", 2*minForwardGap)
		}
		before := calls.Load()
		time.Sleep(later)
		if got, most := calls.Load()-before, int64(later/forwardInterval)+1; got > most {
			t.Errorf("%d calls in %s with a confirmation, more than %d", got, later, most)
		}
		cancel()
		<-ended
	})
}
