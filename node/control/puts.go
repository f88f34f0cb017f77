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

// putLimit bounds how long a change may be under way after its sender has left: twice
// the time in which operators expect their acknowledgement (5 s).
const putLimit = 10 * time.Second

// puts are the changes of the text that are under way at this leader, by version. A
// change that is sent again meanwhile waits for the first: operators resend what is
// not acknowledged in time, and each one would go into the log once more.
type puts struct {
	mu    sync.Mutex
	under map[uint64]*underWay
	valid *optext.Config // the text that was checked last
}

// check reads a text, or reports what is wrong with it. It decodes what differs from the last one.
func (p *puts) check(text string) (*optext.Config, error) {
	p.mu.Lock()
	last := p.valid
	p.mu.Unlock()
	next, err := last.ParseIncremental("text", text)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.valid = next
	return next, nil
}

// underWay is one change. Its result is valid once done is closed.
type underWay struct {
	hash   uint64
	done   chan struct{}
	result *wire.PutResult
	err    error
}

// run makes the change, unless it is under way already, and returns its result. It
// goes on when ctx ends first, for the next one that sends it.
func (p *puts) run(ctx context.Context, req *wire.PutRequest, change func(ctx context.Context) (*wire.PutResult, error)) (*wire.PutResult, error) {
	u, first := p.join(req)
	if first {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), putLimit)
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

// join returns the change under way, or begins one. Another text under the same
// version stands by itself: it comes too late, or comes first.
func (p *puts) join(req *wire.PutRequest) (u *underWay, first bool) {
	hash := xxhash.Sum64String(req.Text)
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.under[req.Version]; u != nil && u.hash == hash {
		return u, false
	}
	u = &underWay{hash: hash, done: make(chan struct{})}
	if p.under == nil {
		p.under = map[uint64]*underWay{}
	}
	if p.under[req.Version] == nil {
		p.under[req.Version] = u
	}
	return u, true
}

func (p *puts) end(version uint64, u *underWay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.under[version] == u {
		delete(p.under, version)
	}
	close(u.done)
}

// put replaces the text. It is acknowledged only while as many voters hold it
// as the settings want for the losses to be borne.
func (s *Service) put(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	// What is in force stays: a version that is not above it changes nothing.
	if v := s.cluster.View().Config.Version; v >= req.Version && s.enoughVoters() {
		s.log.Info("change accepted", "version", req.Version, "bytes", len(req.Text), "applied", false, "in_force", v)
		return &wire.PutResult{Version: v}, nil
	}
	return s.puts.run(ctx, req, func(ctx context.Context) (*wire.PutResult, error) { return s.change(ctx, req) })
}

// enoughVoters reports whether the losses that the settings name are borne, as far as the
// control processes that are there allow it.
func (s *Service) enoughVoters() bool {
	m := s.cluster.Status().Membership
	if len(m.Voters) < s.minVoters() {
		return false
	}
	if !s.set.Control.SelfForming {
		return true
	}
	sp := s.spread()
	p, ok := sp.best(m, s.repair.offers.fresh(s.clock.Now()))
	return !sp.crowded(m.Voters) || !ok || !sp.improves(m.Voters, p)
}

func (s *Service) change(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
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
	result, err := s.commit(ctx, req)
	if err != nil {
		s.log.Info("change not confirmed", "version", req.Version, "bytes", len(req.Text), "parsed", parsed, "took", s.clock.Since(began), "error", err.Error())
		return nil, s.leaderError(err)
	}
	s.log.Info("change accepted", "version", req.Version, "bytes", len(req.Text), "parsed", parsed, "took", s.clock.Since(began), "applied", result.Applied, "in_force", result.Version)
	return result, nil
}

// CheckRegions reports regions that a text names and that are not known.
func (s *Service) CheckRegions(c *optext.Config) error {
	return residency.RegionsOf(s.set.Node.RegionByDataCenter(), c).Check(c)
}

// commit proposes the change as the difference to the text in force. Another change
// may come first; then the difference is made anew.
func (s *Service) commit(ctx context.Context, req *wire.PutRequest) (*wire.PutResult, error) {
	for {
		cmd := state.Command{PutDelta: s.cluster.View().Texts.DeltaTo(req.Version, req.Text)}
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
