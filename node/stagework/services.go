package stagework

import (
	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// setServices applies the current services that process pieces, and their upstreams.
func (s *scheduler) setServices(services map[string]*optext.Service, announced map[string][]wire.Member) {
	s.engines.setMembers(services, announced)
	s.startPending = true
	for name, spec := range services {
		if spec.Batch <= 0 {
			continue
		}
		q := s.services[name]
		if q == nil {
			q = &serviceQueue{workers: map[wire.MemberID]*worker{}, passes: passes{}, scheduler: s, efficiency: initialShare, name: name, split: s.split, reachability: s.reachability, permits: s.permits}
			s.services[name] = q
		}
		q.spec = spec
		if list := announced[name]; !q.workersKnown || !configsync.SameList(q.members, list) {
			q.members, q.workersKnown = list, true
			s.restarted = append(s.restarted, q.setWorkers(list)...)
		}
	}
}

// takeRestarted returns the upstreams that restarted since the last call.
func (s *scheduler) takeRestarted() []*worker {
	out := s.restarted
	s.restarted = nil
	return out
}
