package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/node/disk"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/replica"
)

// TestNewLeaderIsConfirmedAtOnce restarts all replicas together, several times. The new leader must get a
// quorum's confirmation within one round trip, since all processes wait for it.
func TestNewLeaderIsConfirmedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size   = 3
			rounds = 8
			soon   = 20 * time.Millisecond // of virtual time; periodic confirmations are 500 ms apart
		)
		var disks []*disktest.FS
		for range size {
			disks = append(disks, disktest.New(1))
		}
		n, all := cluster(t, size, func(i int) disk.FS { return disks[i] })
		for round := range rounds {
			for _, r := range all {
				r.stop()
				if err := <-r.err; err != nil {
					t.Fatal(err)
				}
			}
			for i := range all {
				all[i] = n.start(t, fmt.Sprint("c", i), disks[i])
			}
			leads := func() int { return slices.IndexFunc(all, func(r *runningReplica) bool { return r.IsLeader() }) }
			waitUntil(func() bool { return leads() >= 0 })
			time.Sleep(soon)
			if i := leads(); i < 0 || all[i].StampAge() < 0 {
				t.Errorf("round %d: no confirmation %s after the election", round, soon)
			}
		}
	})
}

// TestConfirmationFromBeforeTheStart passes a replica a confirmation that its leader got before this process
// started. It is as valid as a later one; waiting for the next costs up to stampInterval.
func TestConfirmationFromBeforeTheStart(t *testing.T) {
	const ago = 200 * time.Millisecond
	clock := clockwork.NewFakeClock()
	r, err := replica.Open(replica.Options{Name: "late", FS: disktest.New(1), Log: logr.Discard(), StampClock: clock})
	if err != nil {
		t.Fatal(err)
	}
	if age := r.StampAge(); age >= 0 {
		t.Fatalf("stamp age %s without a confirmation", age)
	}
	changed := r.Changed()
	r.SetStamp(clock.Now().Add(-ago))
	if age := r.StampAge(); age != ago {
		t.Errorf("stamp age %s, want %s", age, ago)
	}
	select {
	case <-changed:
	default:
		t.Error("the first confirmation woke nobody")
	}
}
