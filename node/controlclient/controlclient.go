// Package controlclient forwards calls of operators and heartbeats of announced upstreams to the
// leader, from whichever process received them.
package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/peer"
)

const (
	// batchWindow is the time for which heartbeats are collected into one call. An upstream waits up to a
	// second for its response. At 34 heartbeats a second over 8 processes, batching halves the number of
	// calls.
	batchWindow = 100 * time.Millisecond
	// announceTimeout limits a call made for upstreams. An upstream that gets no response within a second
	// tries another process.
	announceTimeout = 800 * time.Millisecond
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	ConfigSync *configsync.Service `name:"configsync"`
}

// Service calls the leader.
type Service struct {
	control *peer.LeaderClient
	view    func() *configsync.View

	mu      sync.Mutex
	pending *batch // collects heartbeats; nil if there are none
}

// batch is a call with heartbeats, sent or still being filled.
type batch struct {
	upstreams []wire.Member
	done      chan struct{}
	err       error // valid once done is closed
}

// New returns the service.
func New(p Params) *Service {
	return &Service{control: p.ConfigSync.LeaderClient(), view: p.ConfigSync.View}
}

// ErrUnknownService says that the configuration has no such service with announced upstreams
// (upstreams = announced).
const ErrUnknownService = errors.ConstError("controlclient: no such service is configured")

// Announce forwards the heartbeat of an upstream to the leader, batched with others, and returns once the
// leader has recorded it in the membership. It rejects upstreams of services that the configuration does not
// have, so that arbitrary names can't fill the membership, and all upstreams while this process does not know
// the configuration. Before the first configuration every service is accepted, and an upstream that leaves
// always is.
func (s *Service) Announce(ctx context.Context, m wire.Member) error {
	if err := s.checkAnnounce(m); err != nil {
		return err
	}
	b := s.enqueue(m)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) checkAnnounce(m wire.Member) error {
	c := s.LocalConfig()
	switch {
	case m.Leaving:
		return nil
	case c == nil:
		return errNoConfig
	case len(c.Services) == 0:
		return nil
	}
	if service := c.Services[m.Service]; service == nil || service.Upstreams != optext.Announced {
		return errors.Annotatef(ErrUnknownService, "service %q", m.Service)
	}
	return nil
}

func (s *Service) enqueue(m wire.Member) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		b := &batch{done: make(chan struct{})}
		s.pending = b
		time.AfterFunc(batchWindow, func() { s.send(b) })
	}
	s.pending.upstreams = append(s.pending.upstreams, m)
	return s.pending
}

func (s *Service) send(b *batch) {
	s.mu.Lock()
	if s.pending == b {
		s.pending = nil
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	b.err = s.control.CallLeader(ctx, control.MethodAnnounce, wire.AnnounceRequest{Upstreams: b.upstreams}, nil)
	close(b.done)
}

// Leave tells the leader that an upstream leaves. It returns once the upstream is marked as leaving, whether
// it was a member or not. started is the incarnation that leaves; zero means the one in the membership.
func (s *Service) Leave(ctx context.Context, id wire.MemberID, started uint64) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.control.CallLeader(ctx, control.MethodLeave, wire.LeaveRequest{ID: id, Incarnation: started}, nil)
}

// Put replaces the operators' configuration if version is higher than the one in force.
func (s *Service) Put(ctx context.Context, version uint64, text string) (wire.PutResult, error) {
	var result wire.PutResult
	err := s.control.CallLeader(ctx, control.MethodPut, wire.PutRequest{Version: version, Text: text}, &result)
	return result, err
}

// Evacuate starts or ends the evacuation of a data centre on behalf of an operator who waits for the response
// as long as ctx is valid. The order is based on the revision that this process knew when the request
// arrived: if the process was stalled while later orders were acknowledged, the order is outdated and has no
// effect.
func (s *Service) Evacuate(ctx context.Context, dataCenter string, out bool) (wire.EvacuationResult, error) {
	var result wire.EvacuationResult
	held := s.view()
	if held == nil || held.Version == 0 {
		return result, errNoConfig
	}
	order := wire.EvacuationOrder{DataCenter: dataCenter, Evacuate: out, Base: held.Evacuations.Of(dataCenter).Revision}
	if err := s.checkCallerWaiting(ctx); err != nil {
		return result, err
	}
	err := s.control.CallLeader(ctx, control.MethodEvacuate, order, &result)
	return result, err
}

// checkCallerWaiting returns an error if the caller has disconnected. The round trip to a quorum gives the
// process time to notice.
func (s *Service) checkCallerWaiting(ctx context.Context) error {
	if _, err := s.Config(ctx); err != nil {
		return err
	}
	return ctx.Err()
}

// StartRollout starts a rollout on behalf of an operator who waits for the response as long as ctx is valid.
// Like an evacuation, the order is based on the revision that this process knew when the request arrived.
func (s *Service) StartRollout(ctx context.Context, service, target string, span time.Duration) (wire.RolloutResult, error) {
	var result wire.RolloutResult
	held := s.view()
	if held == nil || held.Version == 0 {
		return result, errNoConfig
	}
	order := wire.RolloutOrder{Service: service, Target: target, Span: span, Base: held.Rollouts.Of(service).Revision}
	if err := control.CheckRollout(held.Config, &order); err != nil {
		return result, s.refusalIfCurrent(ctx, err)
	}
	if err := s.checkCallerWaiting(ctx); err != nil {
		return result, err
	}
	err := s.control.CallLeader(ctx, control.MethodStartRollout, order, &result)
	return result, err
}

// refusalIfCurrent returns the refusal if it is based on the configuration in force, and errStaleConfig
// otherwise: a newer configuration may contain the service.
func (s *Service) refusalIfCurrent(ctx context.Context, refusal error) error {
	version := s.view().Version
	text, err := s.Config(ctx)
	if err != nil {
		return err
	}
	if text.Version != version {
		return errStaleConfig
	}
	return refusal
}

// errStaleConfig says that the configuration of this process has been replaced.
var errStaleConfig = errors.New("controlclient: this process is behind the configuration in force")

// Rollout returns the latest rollout of a service, confirmed by a quorum.
func (s *Service) Rollout(ctx context.Context, service string) (wire.Rollout, error) {
	var r wire.Rollout
	err := s.control.CallLeader(ctx, control.MethodRollout, control.RolloutRequest{Service: service}, &r)
	return r, err
}

// SoleVersion returns the software version of the service's upstreams if they have had only one for as long as a
// stream can last. It is confirmed by a quorum after the call; ok is false if there may have been another version, or
// if that cannot be confirmed before ctx ends.
func (s *Service) SoleVersion(ctx context.Context, service string) (version string, ok bool) {
	var reply control.VersionsReply
	err := s.control.CallLeader(ctx, control.MethodVersions, control.VersionsRequest{Service: service}, &reply)
	if err != nil || !reply.Complete || len(reply.Versions) != 1 {
		return "", false
	}
	return reply.Versions[0], true
}

// ReportRollouts sends the call counts of this process to the leader.
func (s *Service) ReportRollouts(ctx context.Context, report *wire.RolloutReport) error {
	return s.control.CallLeader(ctx, control.MethodReportRollout, report, nil)
}

// ReportCrashes reports calls that crash upstreams to the leader. It returns once a quorum has stored the
// report.
func (s *Service) ReportCrashes(ctx context.Context, report *wire.CrashReport) error {
	return s.control.CallLeader(ctx, control.MethodReportCrashes, report, nil)
}

// ConfirmedConfig is the operators' configuration in force, confirmed by a quorum.
type ConfirmedConfig struct {
	wire.ConfigText
	// Parsed is the parsed form of Text if this process already had it; else nil.
	Parsed *optext.Config
}

// LocalConfig returns the configuration that this process knows, or nil.
func (s *Service) LocalConfig() *optext.Config {
	if v := s.view(); v != nil {
		return v.Config
	}
	return nil
}

// Config returns the configuration in force, confirmed by a quorum. The text is only transferred if this
// process does not have it.
func (s *Service) Config(ctx context.Context) (ConfirmedConfig, error) {
	var req wire.ConfigRequest
	held := s.view()
	if held != nil {
		req = wire.ConfigRequest{Version: held.Version, Hash: held.Hash}
	}
	var reply wire.ConfigReply
	if err := s.control.CallLeader(ctx, control.MethodConfig, req, &reply); err != nil {
		return ConfirmedConfig{}, err
	}
	if reply.Text != nil {
		return ConfirmedConfig{ConfigText: *reply.Text}, nil
	}
	if held == nil {
		return ConfirmedConfig{}, errNoConfig
	}
	return ConfirmedConfig{ConfigText: wire.ConfigText{Version: held.Version, Text: held.Text, Hash: held.Hash}, Parsed: held.Config}, nil
}

// errNoConfig says that this process does not know yet whether there is a configuration.
var errNoConfig = errors.New("controlclient: no configuration yet")
