package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/timeline"
	"caperdrum.org/node/consensus"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/state"
)

// repair runs on the leader and maintains the configured number of voters: it adds control processes as
// learners, promotes learners that have caught up, and removes silent voters once their replacements vote.
type repair struct {
	s          *Service
	lastActive map[consensus.NodeID]time.Time
	status     atomic.Pointer[string]
	offers     offers

	term, committed uint64 // at the previous step
	noopFor         string // term and membership after which a no-op entry was committed
}

const (
	repairInterval = 500 * time.Millisecond
	confirmTimeout = time.Second
	// selfFormingInterval is shorter, since three steps must fit between two losses, the first of which took
	// a disk.
	selfFormingInterval = 200 * time.Millisecond
	voterTimeout        = 5 * time.Second // a voter that is silent for longer is replaced
	maxPromoteLag       = 64              // entries by which a learner may lag when it is promoted
)

func newRepair(s *Service) *repair {
	r := &repair{s: s, lastActive: map[consensus.NodeID]time.Time{}}
	r.setStatus("")
	return r
}

func (r *repair) setStatus(s string) { r.status.Store(&s) }

// Report returns what repair is waiting for. It is empty if the voter set is complete.
func (r *repair) Report() string { return *r.status.Load() }

func (r *repair) run(ctx context.Context) {
	interval := repairInterval
	if r.s.set.Control.SelfForming {
		interval = selfFormingInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.s.replica.IsLeader() {
			clear(r.lastActive)
			r.setStatus("")
			continue
		}
		if err := r.step(ctx); err != nil {
			r.s.log.V(logging.Detail).Info("repair step failed", "error", err.Error())
		}
	}
}

func (r *repair) step(ctx context.Context) error {
	status := r.s.replica.Status()
	r.trackActivity(status)
	need := r.requiredIndex(status)
	if status.MembershipPending {
		r.setStatus("a change of the voters is under way")
		return nil
	}
	if err := r.commitNoop(ctx, status); err != nil {
		return errors.Trace(err)
	}
	next, why := r.nextMembership(ctx, status, need)
	r.setStatus(why)
	if next == nil {
		return nil
	}
	err := r.s.replica.ChangeMembership(ctx, func(now consensus.Status) (consensus.Membership, bool) {
		return *next, now.Role == consensus.Leader && now.Term == status.Term && !now.MembershipPending
	})
	if err == nil {
		r.s.log.Info("membership change proposed", "why", why)
		r.s.ring.Record(timeline.Event{Kind: "voters-change", Detail: why})
	}
	return errors.Trace(err)
}

// commitNoop commits an empty entry after each membership change. Replicas persist the commit index only
// together with later entries, and use a membership once they know that it is committed. Without a later
// entry, voters that all restart right after the change would still need votes of the previous voters, one of
// which may have lost its data folder.
func (r *repair) commitNoop(ctx context.Context, status consensus.Status) error {
	voters := fmt.Sprint(status.Term, status.Membership)
	if r.noopFor == voters {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := r.s.replica.Propose(ctx, state.Command{}); err != nil {
		return err
	}
	r.noopFor = voters
	return nil
}

func (r *repair) nextMembership(ctx context.Context, status consensus.Status, need uint64) (*consensus.Membership, string) {
	c := r.s.set.Control
	if c.SelfForming {
		return planSelfForming(status, r.offers.fresh(r.s.clock.Now()), r.silentLongerThan(selfFormingVoterTimeout), c.MinVoters(), c.Voters, r.s.placement())
	}
	return plan(status, r.findSpares(ctx, status), r.silentVoters(), c.Voters, need)
}

// requiredIndex returns the index up to which an up-to-date voter holds the log: the commit index at the
// previous step, since more recent entries may still be in transit.
func (r *repair) requiredIndex(status consensus.Status) uint64 {
	need := r.committed
	if r.term != status.Term {
		need = status.Committed
	}
	r.term, r.committed = status.Term, status.Committed
	return need
}

// trackActivity records when each replica was last active: when it answered.
func (r *repair) trackActivity(status consensus.Status) {
	now := time.Now()
	for id, pr := range status.Progress {
		if _, known := r.lastActive[id]; !known || pr.RecentActive {
			r.lastActive[id] = now
		}
	}
	for id := range r.lastActive {
		if _, known := status.Progress[id]; !known {
			delete(r.lastActive, id)
		}
	}
}

func (r *repair) silentVoters() map[consensus.NodeID]bool { return r.silentLongerThan(voterTimeout) }

func (r *repair) silentLongerThan(limit time.Duration) map[consensus.NodeID]bool {
	out := map[consensus.NodeID]bool{}
	for id, since := range r.lastActive {
		out[id] = time.Since(since) > limit
	}
	return out
}

// findSpares asks the configured control processes that are not live members for their identity, in parallel,
// since dead ones do not answer.
func (r *repair) findSpares(ctx context.Context, status consensus.Status) []consensus.Peer {
	if countLive(status, r.silentVoters()) >= r.s.set.Control.Voters {
		return nil
	}
	found := make([]*consensus.Peer, len(r.s.set.Peers.Control)) // in the order of the settings
	var wg sync.WaitGroup
	for i, address := range r.s.set.Peers.Control {
		if address == r.s.set.Control.Advertise || hasLiveMember(status, r.silentVoters(), address) {
			continue
		}
		wg.Go(func() {
			p, err := r.identify(ctx, address)
			if err == nil && !status.Membership.IsVoter(p.ID) && !status.Membership.IsLearner(p.ID) {
				found[i] = &p
			}
		})
	}
	wg.Wait()
	var out []consensus.Peer
	for _, p := range found {
		if p != nil {
			out = append(out, *p)
		}
	}
	return out
}

func hasLiveMember(status consensus.Status, silent map[consensus.NodeID]bool, address string) bool {
	for _, p := range status.Membership.All() {
		if p.Address == address && !silent[p.ID] {
			return true
		}
	}
	return false
}

func (r *repair) identify(ctx context.Context, address string) (consensus.Peer, error) {
	client := peer.NewClient(address, r.s.transport.dial)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, repairInterval)
	defer cancel()
	var id Identity
	if err := client.Call(ctx, MethodIdentity, Empty{}, &id); err != nil {
		return consensus.Peer{}, err
	}
	return id.Peer, nil
}

// plan returns the next membership, or nil, and what repair is waiting for. The latter is empty only if there
// are exactly want live voters that hold every entry up to need, and no other member. Each step changes at
// most one voter. A voter is removed only if there are more than want and all live ones are up to date, so
// that the number of synced copies among the wanted voters never decreases.
func plan(st consensus.Status, spares []consensus.Peer, silent map[consensus.NodeID]bool, want int, need uint64) (*consensus.Membership, string) {
	m := st.Membership
	for _, l := range m.Learners {
		if silent[l.ID] {
			return dropLearner(m, l.ID), fmt.Sprintf("learner %s is silent: removing it", l.ID)
		}
	}
	if len(m.Voters) > want {
		return removeVoter(st, silent, want, need)
	}
	if working := countLive(st, silent); working < want {
		return addVoter(st, spares, working, want)
	}
	if len(m.Learners) > 0 {
		id := m.Learners[0].ID
		return dropLearner(m, id), fmt.Sprintf("%d voters work: removing learner %s, which is not needed", want, id)
	}
	return nil, laggingVoter(st, silent, need)
}

func countLive(st consensus.Status, silent map[consensus.NodeID]bool) int {
	working := 0
	for _, v := range st.Membership.Voters {
		if v.ID == st.ID || !silent[v.ID] {
			working++
		}
	}
	return working
}

// laggingVoter describes a voter that is not silent and lacks entries up to need. It returns an empty string
// if there is none.
func laggingVoter(st consensus.Status, silent map[consensus.NodeID]bool, need uint64) string {
	for _, v := range st.Membership.Voters {
		match := st.Progress[v.ID].Match
		if v.ID != st.ID && !silent[v.ID] && match < need {
			return fmt.Sprintf("voter %s holds entries up to %d, not yet %d", v.ID, match, need)
		}
	}
	return ""
}

// removeVoter reduces a voter set that is too large. It removes a silent voter first. If there is none, and
// all voters answer, it removes the one that holds the fewest entries; of equals, the one added last.
func removeVoter(st consensus.Status, silent map[consensus.NodeID]bool, want int, need uint64) (*consensus.Membership, string) {
	m := st.Membership
	if why := laggingVoter(st, silent, need); why != "" {
		return nil, why
	}
	var last *consensus.Peer
	idle := ""
	for _, v := range m.Voters {
		if v.ID == st.ID {
			continue
		}
		if silent[v.ID] {
			return dropVoter(m, v.ID), fmt.Sprintf("voter %s is silent and replaced: removing it", v.ID)
		}
		if !st.Progress[v.ID].RecentActive {
			idle = string(v.ID)
		}
		if last == nil || st.Progress[v.ID].Match <= st.Progress[last.ID].Match {
			last = &v
		}
	}
	if idle != "" || last == nil {
		return nil, fmt.Sprintf("%d voters for %d: waiting to hear from %s", len(m.Voters), want, idle)
	}
	return dropVoter(m, last.ID), fmt.Sprintf("%d voters for %d: removing %s", len(m.Voters), want, last.ID)
}

// addVoter promotes a learner that has caught up and was recently active, or adds a spare as a learner.
func addVoter(st consensus.Status, spares []consensus.Peer, working, want int) (*consensus.Membership, string) {
	m := st.Membership
	for _, l := range m.Learners {
		pr := st.Progress[l.ID]
		if pr.RecentActive && pr.Match+maxPromoteLag >= st.LastIndex && pr.Match >= st.SnapshotIndex {
			return promote(m, l), fmt.Sprintf("learner %s caught up: promoting it", l.ID)
		}
	}
	if len(m.Learners) > 0 {
		return nil, fmt.Sprintf("%d of %d voters work: a learner is catching up", working, want)
	}
	if len(spares) == 0 {
		return nil, fmt.Sprintf("%d of %d voters work: no spare control process answers", working, want)
	}
	next := consensus.Membership{Voters: m.Voters, Learners: append(append([]consensus.Peer(nil), m.Learners...), spares[0])}
	return &next, fmt.Sprintf("%d of %d voters work: adding %s as a learner", working, want, spares[0].ID)
}

func promote(m consensus.Membership, l consensus.Peer) *consensus.Membership {
	return &consensus.Membership{Voters: append(append([]consensus.Peer(nil), m.Voters...), l), Learners: without(m.Learners, l.ID)}
}

func dropVoter(m consensus.Membership, id consensus.NodeID) *consensus.Membership {
	return &consensus.Membership{Voters: without(m.Voters, id), Learners: m.Learners}
}

func dropLearner(m consensus.Membership, id consensus.NodeID) *consensus.Membership {
	return &consensus.Membership{Voters: m.Voters, Learners: without(m.Learners, id)}
}

func without(peers []consensus.Peer, id consensus.NodeID) []consensus.Peer {
	var out []consensus.Peer
	for _, p := range peers {
		if p.ID != id {
			out = append(out, p)
		}
	}
	return out
}
