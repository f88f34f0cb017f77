package ingress

import (
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// refusals are the connections refused since the last log line.
type refusals struct {
	byReason map[reason]int
	total    int
	since    time.Time
}

func (r *refusals) add(why reason) {
	if r.byReason == nil {
		r.byReason = map[reason]int{}
	}
	r.byReason[why]++
	r.total++
}

// reportRefused logs the refused connections, at most once in reportInterval. The first one of a series is logged at once.
// The caller must hold the lock.
func (s *Service) reportRefused(now time.Time) {
	if s.refused.total == 0 || now.Sub(s.refused.since) < reportInterval {
		return
	}
	s.log.Info("connections refused", "count", s.refused.total, "congested", s.refused.byReason[reasonCongested], "memory", s.refused.byReason[reasonMemory], "descriptors", s.refused.byReason[reasonDescriptors],
		"round_trip", s.last.roundTrip, "processor_wait", s.last.processor, "connection_wait", s.last.connections, "service", s.last.service, "room_elsewhere", s.last.roomElsewhere, "calls_in_progress", s.counts.inProgress(), "limit", int(s.limiter.limit), "connections", s.counts.open())
	s.refused = refusals{since: now}
}

// answeredWithError reports whether the other process answered a call, if only with an error.
func answeredWithError(err error) bool {
	var answer *jsonrpc2.Error
	return errors.As(err, &answer)
}
