// Package controlclient makes the calls of operators and of upstreams that
// announce themselves to the leader, from whatever process they reached.
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
	// gather is how long signs of life are collected for one call. An upstream
	// waits a second for its answer; at 34 signs of life a second over 8
	// processes it halves the calls.
	gather = 100 * time.Millisecond
	// announceTimeout bounds a call of upstreams: an upstream that had no
	// answer within a second tries another process.
	announceTimeout = 800 * time.Millisecond
)

// Params are what the service needs.
type Params struct {
	dig.In
	ConfigSync *configsync.Service `name:"configsync"`
}

// Service calls the leader.
type Service struct {
	control *peer.LeaderClient
	view    func() *configsync.View

	mu   sync.Mutex
	next *batch // collects signs of life; nil while there are none
}

// batch is a call with signs of life, made or still collecting.
type batch struct {
	upstreams []wire.Member
	done      chan struct{}
	err       error // valid once done is closed
}

// New returns the service.
func New(p Params) *Service {
	return &Service{control: p.ConfigSync.LeaderClient(), view: p.ConfigSync.View}
}

// ErrUnknownService says that the text names no such service with upstreams that announce
// themselves.
const ErrUnknownService = errors.ConstError("controlclient: no such service is configured")

// Announce passes an upstream's sign of life to the leader, together with
// others. It returns once the members hold the record. One of a service that the text does
// not name is not passed on, so that nobody fills the members with names, and none while
// this process knows neither; before there is a text all are, and one that leaves always is.
func (s *Service) Announce(ctx context.Context, m wire.Member) error {
	if err := s.mayAnnounce(m); err != nil {
		return err
	}
	b := s.join(m)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) mayAnnounce(m wire.Member) error {
	c := s.Held()
	switch {
	case m.Leaving:
		return nil
	case c == nil:
		return errNoText
	case len(c.Services) == 0:
		return nil
	}
	if service := c.Services[m.Service]; service == nil || service.Upstreams != optext.Announced {
		return errors.Annotatef(ErrUnknownService, "service %q", m.Service)
	}
	return nil
}

func (s *Service) join(m wire.Member) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		b := &batch{done: make(chan struct{})}
		s.next = b
		time.AfterFunc(gather, func() { s.send(b) })
	}
	s.next.upstreams = append(s.next.upstreams, m)
	return s.next
}

func (s *Service) send(b *batch) {
	s.mu.Lock()
	if s.next == b {
		s.next = nil
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	b.err = s.control.CallLeader(ctx, control.MethodAnnounce, wire.AnnounceRequest{Upstreams: b.upstreams}, nil)
	close(b.done)
}

// Leave tells the leader that an upstream leaves. It returns once the members
// hold the mark, or are known not to hold the upstream.
// started names the start that leaves; zero is the one that the members hold.
func (s *Service) Leave(ctx context.Context, id wire.MemberID, started uint64) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.control.CallLeader(ctx, control.MethodLeave, wire.LeaveRequest{ID: id, Incarnation: started}, nil)
}

// Put replaces the operators' text if the version is above the one in force.
func (s *Service) Put(ctx context.Context, version uint64, text string) (wire.PutResult, error) {
	var result wire.PutResult
	err := s.control.CallLeader(ctx, control.MethodPut, wire.PutRequest{Version: version, Text: text}, &result)
	return result, err
}

// Evacuate starts or ends the evacuation of a data centre, as an operator asks who still waits
// for the answer when ctx is valid. The order holds for what this process knew when it came: one
// that lay at a frozen process while others were acknowledged is overtaken, and has no effect.
func (s *Service) Evacuate(ctx context.Context, dataCenter string, out bool) (wire.EvacuationResult, error) {
	var result wire.EvacuationResult
	held := s.view()
	if held == nil || held.Version == 0 {
		return result, errNoText
	}
	order := wire.EvacuationOrder{DataCenter: dataCenter, Evacuate: out, Base: held.Evacuations.Of(dataCenter).Revision}
	if err := s.stillWanted(ctx); err != nil {
		return result, err
	}
	err := s.control.CallLeader(ctx, control.MethodEvacuate, order, &result)
	return result, err
}

// stillWanted reports whether the sender of an order has left: a round trip to a quorum gives time to
// notice it.
func (s *Service) stillWanted(ctx context.Context) error {
	if _, err := s.Config(ctx); err != nil {
		return err
	}
	return ctx.Err()
}

// StartRollout starts a roll-out, as an operator asks who still waits for the answer when ctx is valid.
// Like an evacuation it holds for what this process knew when it came.
func (s *Service) StartRollout(ctx context.Context, service, target string, span time.Duration) (wire.RolloutResult, error) {
	var result wire.RolloutResult
	held := s.view()
	if held == nil || held.Version == 0 {
		return result, errNoText
	}
	order := wire.RolloutOrder{Service: service, Target: target, Span: span, Base: held.Rollouts.Of(service).Revision}
	if err := control.CheckRollout(held.Config, &order); err != nil {
		return result, s.unlessNewer(ctx, err)
	}
	if err := s.stillWanted(ctx); err != nil {
		return result, err
	}
	err := s.control.CallLeader(ctx, control.MethodStartRollout, order, &result)
	return result, err
}

// unlessNewer returns a refusal that this process's text gives reason for, or that it can't tell: a
// newer text may name the service.
func (s *Service) unlessNewer(ctx context.Context, refusal error) error {
	version := s.view().Version
	text, err := s.Config(ctx)
	if err != nil {
		return err
	}
	if text.Version != version {
		return errBehind
	}
	return refusal
}

// errBehind says that this process's text has been replaced.
var errBehind = errors.New("controlclient: this process is behind the configuration in force")

// Rollout returns the last roll-out of a service, as a quorum has confirmed it.
func (s *Service) Rollout(ctx context.Context, service string) (wire.Rollout, error) {
	var r wire.Rollout
	err := s.control.CallLeader(ctx, control.MethodRollout, control.RolloutRequest{Service: service}, &r)
	return r, err
}

// ReportRollouts tells the leader what this process has counted.
func (s *Service) ReportRollouts(ctx context.Context, report *wire.RolloutReport) error {
	return s.control.CallLeader(ctx, control.MethodReportRollout, report, nil)
}

// ReportCrashes tells the leader of calls that end upstreams. It returns once a quorum holds the report.
func (s *Service) ReportCrashes(ctx context.Context, report *wire.CrashReport) error {
	return s.control.CallLeader(ctx, control.MethodReportCrashes, report, nil)
}

// Text is the operators' text in force, as a quorum has confirmed it.
type Text struct {
	wire.ConfigText
	// Parsed is what Text says, where this process had parsed it already; else nil.
	Parsed *optext.Config
}

// Held returns the configuration that this process holds, or nil.
func (s *Service) Held() *optext.Config {
	if v := s.view(); v != nil {
		return v.Config
	}
	return nil
}

// Config returns the text in force, confirmed by a quorum. It moves between processes
// only if this one does not hold it.
func (s *Service) Config(ctx context.Context) (Text, error) {
	var req wire.ConfigRequest
	held := s.view()
	if held != nil {
		req = wire.ConfigRequest{Version: held.Version, Hash: held.Hash}
	}
	var reply wire.ConfigReply
	if err := s.control.CallLeader(ctx, control.MethodConfig, req, &reply); err != nil {
		return Text{}, err
	}
	if reply.Text != nil {
		return Text{ConfigText: *reply.Text}, nil
	}
	if held == nil {
		return Text{}, errNoText
	}
	return Text{ConfigText: wire.ConfigText{Version: held.Version, Text: held.Text, Hash: held.Hash}, Parsed: held.Config}, nil
}

// errNoText says that this process does not know yet whether there is a text.
var errNoText = errors.New("controlclient: no configuration yet")
