package ingress

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/upstream"
)

// methodProbe is the peer method of probes.
const methodProbe = "ingress.probe"

const (
	// calmInterval and busyInterval are the times between probes, while round trips take up to probeFasterFrom longer than
	// usual and while they take more. There are none while no calls arrive.
	calmInterval    = 500 * time.Millisecond
	busyInterval    = 100 * time.Millisecond
	probeFasterFrom = 8 * time.Millisecond
	probeTimeout    = time.Second
	// maxNearTargets and maxFarTargets bound the processes of the same and of other data centres that are probed, and with
	// them the connections between processes.
	maxNearTargets = 5
	maxFarTargets  = 3
	// retryInterval is the time between two probes of a process that does not answer.
	retryInterval = time.Second
)

// target is a process that is probed.
type target struct {
	member   wire.Member
	client   *peer.Client
	probedAt time.Time
}

// probeReply is the answer to a probe.
type probeReply struct {
	Congested bool `json:"congested,omitempty"`
}

func (s *Service) register(server *peer.Server) {
	peer.Handle(server, methodProbe, func(context.Context, *struct{}) (*probeReply, error) {
		return &probeReply{Congested: s.Congested()}, nil
	})
}

// setProcesses applies a member list of the processes.
func (s *Service) setProcesses(self wire.Member, processes []wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configsync.SameList(s.processes, processes) {
		return
	}
	s.processes = processes
	chosen := chooseTargets(self, processes)
	previous := s.targets
	s.targets = nil
	for _, m := range chosen {
		i := slices.IndexFunc(previous, func(t *target) bool { return t.member.Start() == m.Start() })
		if i >= 0 {
			s.targets = append(s.targets, previous[i])
			previous = slices.Delete(slices.Clone(previous), i, i+1)
			continue
		}
		s.targets = append(s.targets, &target{member: m, client: peer.NewClient(m.Peer, s.dial)})
	}
	for _, t := range previous {
		t.client.Close()
	}
	s.congestion.setTargets(self.DataCenter, chosen)
}

// chooseTargets returns the processes to probe: ones of the same data centre, to which the load balancer sends the callers
// that are turned away here, and some of other data centres, in case those are lost. Different processes probe different
// ones.
func chooseTargets(self wire.Member, processes []wire.Member) []wire.Member {
	var near, far []wire.Member
	for _, m := range processes {
		switch {
		case m.ID == self.ID || m.Leaving || m.Peer == "":
		case m.DataCenter == self.DataCenter:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	hash := xxhash.Sum64String(string(self.ID))
	byWeight := func(a, b wire.Member) int {
		return cmp.Compare(upstream.RendezvousWeight(hash, a.ID), upstream.RendezvousWeight(hash, b.ID))
	}
	slices.SortFunc(near, byWeight)
	slices.SortFunc(far, byWeight)
	return append(near[:min(len(near), maxNearTargets)], far[:min(len(far), maxFarTargets)]...)
}

// run probes other processes while calls arrive.
func (s *Service) run() {
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for _, t := range s.nextTargets() {
			go s.probe(t)
		}
		select {
		case <-s.clock.After(s.probeInterval()):
		case <-s.ctx.Done():
			return
		}
	}
}

// requestProbe has run probe now, or when the time between probes is over.
func (s *Service) requestProbe() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextTargets returns the processes to probe now: one in turn of those that answer, and those of which nothing is known.
func (s *Service) nextTargets() []*target {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, answering []*target
	for _, t := range s.targets {
		if s.congestion.known(now, t.member.ID) {
			answering = append(answering, t)
		} else if now.Sub(t.probedAt) >= retryInterval {
			out = append(out, t)
		}
	}
	if len(answering) > 0 {
		s.next++
		out = append(out, answering[s.next%len(answering)])
	}
	for _, t := range out {
		t.probedAt = now
	}
	return out
}

// probe asks a process for an answer and records how long it took.
func (s *Service) probe(t *target) {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	var reply probeReply
	began := s.clock.Now()
	err := t.client.Call(ctx, methodProbe, struct{}{}, &reply)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil || answeredWithError(err):
		probesVar.Add("answered", 1)
		s.congestion.answered(now, t.member.ID, now.Sub(began), reply.Congested)
	case ctx.Err() == nil:
		probesVar.Add("unreachable", 1)
		s.congestion.outOfReach(t.member.ID)
	default:
		probesVar.Add("unanswered", 1)
	}
}

// probeInterval returns the time until the next probe.
func (s *Service) probeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter.limited() || s.congestion.latest > probeFasterFrom {
		return busyInterval
	}
	return calmInterval
}
