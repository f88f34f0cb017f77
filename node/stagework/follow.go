package stagework

import (
	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// setServices takes over the services that make pieces and their upstreams.
func (s *scheduler) setServices(services map[string]*optext.Service, announced map[string][]wire.Member) {
	s.engines.follow(services, announced)
	s.due = true
	for name, spec := range services {
		if spec.Batch <= 0 {
			continue
		}
		q := s.services[name]
		if q == nil {
			q = &serviceQueue{workers: map[wire.MemberID]*worker{}, asked: classes{}, efficiency: firstEfficiency, name: name, split: s.split, reach: s.reach}
			s.services[name] = q
		}
		q.spec = spec
		if list := announced[name]; !q.known || !configsync.SameList(q.members, list) {
			q.members, q.known = list, true
			s.lost = append(s.lost, q.setWorkers(list)...)
		}
	}
}

// takeLost returns the upstreams that have started again since the last call.
func (s *scheduler) takeLost() []*worker {
	out := s.lost
	s.lost = nil
	return out
}
