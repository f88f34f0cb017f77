package proxy

import (
	"net/http"
	"time"

	"caperdrum.org/node/logging"
)

// maxOwnerSilence is how long the stage owner may be silent before this process takes no new connections. It is above
// the 400 ms in which another owner is named, so that all processes do not become unready at once.
const maxOwnerSilence = 1200 * time.Millisecond

// notReady returns why this process should get no new connections, or an empty string if it should.
func (s *Service) notReady() string {
	t := s.table.Load()
	switch {
	case s.stopping():
		return "stopping"
	case !t.configured():
		return "no configuration yet"
	case s.views.StampAge() > s.set.Proxy.KeyAge:
		return "no confirmation by a quorum"
	case s.stages.Silent() > maxOwnerSilence:
		return "the owner of the stages does not answer"
	}
	return ""
}

// serveReady tells a load balancer whether this process takes new connections.
func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	why := s.notReady()
	old := s.notReadyReason.Swap(&why)
	if old == nil || *old != why {
		s.log.Info("readiness changed", "ready", why == "", "reason", why, "stamp_age", logging.Age(s.views.StampAge()), "owner_silent", s.stages.Silent())
	}
	if why != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
