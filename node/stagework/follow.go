package stagework

import (
	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/residency"
)

// setRegions takes over the regions of the data centres.
func (s *scheduler) setRegions(r residency.Regions) {
	s.engines.regions = regions{r}
	for _, q := range s.services {
		q.regions, q.apartRegions = s.engines.regions, s.engines.regions.several()
	}
}

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
			q = &serviceQueue{workers: map[wire.MemberID]*worker{}, asked: classes{}, efficiency: firstEfficiency, name: name, split: s.split, regions: s.engines.regions, apartRegions: s.engines.regions.several()}
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
