package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"caperdrum.org/node/disk"
	"caperdrum.org/node/disk/disktest"
)

// TestNewLeadIsConfirmedAtOnce stops all replicas at once and starts them again, several times: the new leader
// has a quorum's confirmation as soon as messages have gone there and back, since all processes wait for it.
func TestNewLeadIsConfirmedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size   = 3
			rounds = 8
			soon   = 20 * time.Millisecond // of virtual time; between two confirmations are 500
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
			leads := func() int { return slices.IndexFunc(all, func(r *running) bool { return r.IsLeader() }) }
			await(func() bool { return leads() >= 0 })
			time.Sleep(soon)
			if i := leads(); i < 0 || all[i].StampAge() < 0 {
				t.Errorf("round %d: no confirmation %s after the election", round, soon)
			}
		}
	})
}
