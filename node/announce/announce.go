// Package announce runs the health check of the upstream next to an agent and marks it unhealthy while the
// check fails.
package announce

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/settings"
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Gate     *gate.Service `name:"gate"`
}

// Service checks the health of one upstream.
type Service struct {
	url    string
	log    logr.Logger
	gate   *gate.Service
	client *http.Client
	cancel context.CancelFunc
}

const (
	checkInterval      = time.Second
	checkTimeout       = 2 * time.Second
	maxBodyBytes       = 4 << 10 // bytes read of a response
	unhealthyThreshold = 2       // consecutive failed checks after which the upstream is unhealthy
)

// New returns the service. Until the first successful check the upstream counts as leaving.
func New(p Params) *Service {
	return &Service{url: "http://" + p.Settings.Agent.Upstream + p.Settings.Agent.HealthPath, log: p.Log, gate: p.Gate,
		client: &http.Client{Timeout: checkTimeout, Transport: wire.CheckResponses(&http.Transport{MaxResponseHeaderBytes: wire.MaxResponseHeadBytes})}}
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.gate.SetHealthy(s.check(ctx))
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.check(ctx) {
			failures = 0
			s.gate.SetHealthy(true)
			continue
		}
		failures++
		if failures == unhealthyThreshold && ctx.Err() == nil {
			s.log.Info("upstream failed its health checks", "failed_checks", failures)
			s.gate.SetHealthy(false)
		}
	}
}

func (s *Service) check(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)) // the connection is reused only if the body was read
	resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
