package stagework

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/control"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/upstream"
)

// limitReportDelay is how long changed limits are collected for one report.
const limitReportDelay = 10 * time.Millisecond

// limitReports collects the upstreams whose limits are to be reported to the owner.
type limitReports struct {
	mu      sync.Mutex
	changed map[wire.Start]bool
	wake    chan struct{}
}

func newLimitReports() *limitReports {
	return &limitReports{changed: map[wire.Start]bool{}, wake: make(chan struct{}, 1)}
}

// add has the limits of the upstreams reported.
func (r *limitReports) add(list ...wire.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range list {
		r.changed[start] = true
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *limitReports) take() []wire.Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Collect(maps.Keys(r.changed))
	clear(r.changed)
	return list
}

// runLimitReports reports changed limits to the owner until ctx ends. A lost report does no harm: a request for a
// permit tells of the limits as well.
func (s *Service) runLimitReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.limitReports.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(limitReportDelay):
		}
		list := s.notices.LimitNotices(s.limitReports.take())
		client, _, _ := s.link.acquire()
		if client != nil && len(list) > 0 {
			if err := notifyWithin(ctx, client, list); err != nil {
				s.log.Info("limits not reported", "limits", len(list), "error", err.Error())
			}
		}
		s.link.release()
	}
}

func notifyWithin(ctx context.Context, client *peer.Client, list []upstream.LimitNotice) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return client.Notify(ctx, methodLimits, list)
}

func (s *Service) handleLimits(_ context.Context, list *[]upstream.LimitNotice) (*control.Empty, error) {
	s.notices.Merge(*list)
	s.post(func(time.Time) { s.scheduler.startPending = true })
	return &control.Empty{}, nil
}
