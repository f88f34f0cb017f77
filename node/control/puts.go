package control

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/state"
)

// putTimeout limits how long a change continues after its sender has disconnected: twice the time in which
// operators expect an acknowledgement (5 s).
const putTimeout = 10 * time.Second

// pendingPuts holds the configuration changes in progress at this leader, by version. Operators resend
// changes that are not acknowledged in time. A resend waits for the change in progress, since it would
// otherwise be appended to the log again.
type pendingPuts struct {
	mu        sync.Mutex
	byVersion map[uint64]*pendingPut
	lastValid *optext.Config // the text validated last
}

// check parses and validates a text. It decodes only what differs from the text validated before.
func (p *pendingPuts) check(text string) (*optext.Config, error) {
	p.mu.Lock()
	last := p.lastValid
	p.mu.Unlock()
	next, err := last.ParseIncremental("text", text)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastValid = next
	return next, nil
}

// pendingPut is one change. Its result is valid once done is closed.
type pendingPut struct {
	hash   uint64
	done   chan struct{}
	result *wire.PutResult
	err    error
}

// run makes the change, unless it is already in progress, and returns its result. The change continues if ctx
// ends first, so that a resend can get the result.
func (p *pendingPuts) run(ctx context.Context, req *wire.PutRequest, change func(ctx context.Context) (*wire.PutResult, error)) (*wire.PutResult, error) {
	u, first := p.join(req)
	if first {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), putTimeout)
			defer cancel()
			u.result, u.err = change(ctx)
			p.end(req.Version, u)
		}()
	}
	select {
	case <-u.done:
		return u.result, u.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns the change in progress, or registers a new one. A different text with the same version is
// processed separately, and the one committed first takes effect.
func (p *pendingPuts) join(req *wire.PutRequest) (u *pendingPut, first bool) {
	hash := xxhash.Sum64String(req.Text)
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byVersion[req.Version]; u != nil && u.hash == hash {
		return u, false
	}
	u = &pendingPut{hash: hash, done: make(chan struct{})}
	if p.byVersion == nil {
		p.byVersion = map[uint64]*pendingPut{}
	}
	if p.byVersion[req.Version] == nil {
		p.byVersion[req.Version] = u
	}
	return u, true
}

func (p *pendingPuts) end(version uint64, u *pendingPut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byVersion[version] == u {
		delete(p.byVersion, version)
	}
	close(u.done)
}

// putConfig replaces the configuration text. It is acknowledged only if the number of voters satisfies the
// losses that the settings must tolerate.
func (s *Service) putConfig(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	// A version that is not above the one in force changes nothing.
	if v := s.cluster.View().Config.Version; v >= req.Version && s.enoughVoters() {
		s.log.Info("change accepted", "version", req.Version, "bytes", len(req.Text), "applied", false, "in_force", v)
		return &wire.PutResult{Version: v}, nil
	}
	return s.puts.run(ctx, req, func(ctx context.Context) (*wire.PutResult, error) { return s.validateAndPut(ctx, req) })
}

// enoughVoters reports whether the losses in the settings are tolerated, as far as the available control
// processes allow it.
func (s *Service) enoughVoters() bool {
	m := s.cluster.Status().Membership
	if len(m.Voters) < s.minVoters() {
		return false
	}
	if !s.set.Control.SelfForming {
		return true
	}
	vp := s.placement()
	p, ok := vp.bestCandidate(m, s.repair.offers.fresh(s.clock.Now()))
	return !vp.lossBreaksQuorum(m.Voters) || !ok || !vp.improves(m.Voters, p)
}

func (s *Service) validateAndPut(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
	began := s.clock.Now()
	config, err := s.puts.check(req.Text)
	if err == nil {
		err = s.CheckRegions(config)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%s", err)
	}
	parsed := s.clock.Since(began)
	if !s.enoughVoters() {
		s.log.Info("change refused", "reason", "too few voters", "voters", len(s.cluster.Status().Membership.Voters), "want", s.minVoters(), "version", req.Version)
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too few control processes have joined yet")
	}
	result, err := s.proposePut(ctx, req)
	if err != nil {
		s.log.Info("change not committed", "version", req.Version, "bytes", len(req.Text), "parsed", parsed, "took", s.clock.Since(began), "error", err.Error())
		return nil, s.leaderError(err)
	}
	s.log.Info("change accepted", "version", req.Version, "bytes", len(req.Text), "parsed", parsed, "took", s.clock.Since(began), "applied", result.Applied, "in_force", result.Version)
	return result, nil
}

// CheckRegions returns an error if the text names unknown regions.
func (s *Service) CheckRegions(c *optext.Config) error {
	return residency.MergeRegions(s.set.Node.RegionByDataCenter(), c).Check(c)
}

// proposePut proposes the change as a delta to the text in force. If another change is committed first, it
// computes the delta again.
func (s *Service) proposePut(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
	for {
		cmd := state.Command{PutDelta: s.cluster.View().TextHistory.DeltaTo(req.Version, req.Text)}
		if cmd.PutDelta == nil {
			cmd.Put = req
		}
		res, err := s.cluster.Propose(ctx, cmd)
		if err != nil || !res.Rebase {
			return res.Put, err
		}
	}
}

func (s *Service) minVoters() int {
	if !s.set.Control.SelfForming {
		return 1
	}
	return s.set.Control.MinVoters()
}
