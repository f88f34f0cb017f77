package control

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/node/internal/periodic"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
)

const (
	// notifySeedsInterval limits how long a process without a disk does not know the voters after all
	// processes have restarted.
	notifySeedsInterval = 500 * time.Millisecond
	notifySeedTimeout   = 400 * time.Millisecond
)

// runSeedNotifier lets the leader send the voters' addresses to the seeds. Seeds may be processes without
// disks, which forget the addresses in a power failure. Other processes ask the seeds for them.
func (s *Service) runSeedNotifier(ctx context.Context) {
	clients := map[string]*peer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	periodic.Run(ctx, s.clock, notifySeedsInterval, func() {
		voters := s.voterAddresses()
		s.directory.Learn(voters)
		if s.cluster.IsLeader() {
			s.notifySeeds(ctx, clients, voters)
		}
	})
}

func (s *Service) notifySeeds(ctx context.Context, clients map[string]*peer.Client, voters []string) {
	seeds := s.directory.Configured()
	for address, c := range clients {
		if !slices.Contains(seeds, address) {
			c.Close()
			delete(clients, address)
		}
	}
	for _, seed := range seeds {
		if slices.Contains(voters, seed) {
			continue
		}
		if clients[seed] == nil {
			clients[seed] = peer.NewClient(seed, s.transport.dial)
		}
		go s.notifySeed(ctx, clients[seed], voters)
	}
}

func (s *Service) notifySeed(ctx context.Context, c *peer.Client, voters []string) {
	ctx, cancel := context.WithTimeout(ctx, notifySeedTimeout)
	defer cancel()
	if err := c.Call(ctx, peer.MethodAnnounceControl, peer.ControlAddresses{Control: voters}, nil); err != nil {
		s.log.V(logging.Detail).Info("failed to send the voters' addresses to a seed", "address", c.Address(), "error", err.Error())
	}
}
