package control

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// Renewal is one member's sign of life.
type Renewal struct {
	Member        wire.Member `json:"member"`
	ConfigVersion uint64      `json:"config_version"`
	Fault         string      `json:"fault,omitempty"`
}

// leases is the leader's memory of when it last heard from each member. It is
// not replicated: a new leader grants every member one whole lease. Joining,
// leaving and expiry are replicated.
type leases struct {
	cluster cluster
	clock   clockwork.Clock
	ttl     time.Duration
	ring    *timeline.Ring

	mu      sync.Mutex
	seen    map[wire.MemberID]seen
	pending map[wire.MemberID]wire.Member
	wake    chan struct{}

	term     uint64    // of the leadership that leases were granted for
	lastStep time.Time // of run's goroutine
}

type seen struct {
	at          time.Time
	incarnation uint64
	version     uint64
	fault       string
	granted     bool // at is that of a grant: nothing was heard since
}

func newLeases(c cluster, clock clockwork.Clock, ttl time.Duration, ring *timeline.Ring) *leases {
	return &leases{cluster: c, clock: clock, ttl: ttl, ring: ring, seen: map[wire.MemberID]seen{},
		pending: map[wire.MemberID]wire.Member{}, wake: make(chan struct{}, 1)}
}

// renew notes signs of life and queues the members that the state does not
// hold as they are.
func (l *leases) renew(rs []Renewal) {
	members := l.cluster.View().Members
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rs {
		known, ok := members[r.Member.ID]
		old := l.seen[r.Member.ID]
		held := ok || now.Sub(old.at) <= l.ttl
		if held && max(old.incarnation, known.Incarnation) > r.Member.Incarnation {
			continue // a late message of an earlier start, or the VM's clock went back
		}
		l.seen[r.Member.ID] = seen{at: now, incarnation: r.Member.Incarnation, version: r.ConfigVersion, fault: r.Fault}
		waiting, queued := l.pending[r.Member.ID]
		if queued && !r.Member.NewerThan(waiting) {
			continue
		}
		if queued || !ok || r.Member.ChangedSince(known) {
			l.pending[r.Member.ID] = r.Member
		}
	}
	if len(l.pending) > 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// lastStart is what a leader knows of the last start of a member.
type lastStart struct {
	incarnation uint64 // also of a start that the state does not hold yet
	heard       bool   // of it, since this process leads
}

// lastStart returns what is known of the last start of a member with the given record.
func (l *leases) lastStart(m wire.Member) lastStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.seen[m.ID]
	return lastStart{incarnation: max(m.Incarnation, s.incarnation), heard: known && !s.granted}
}

// leaving returns the record by which an announced upstream leaves. None needs
// one that neither the members hold nor a sign of life has named, and none a start
// that a later one has replaced.
func (l *leases) leaving(req *wire.LeaveRequest) []wire.Member {
	l.mu.Lock()
	m, known := l.pending[req.ID]
	l.mu.Unlock()
	if !known {
		m, known = l.cluster.View().Members[req.ID]
	}
	if !known || m.Role != wire.AnnouncedRole || req.Incarnation != 0 && req.Incarnation < m.Incarnation {
		return nil
	}
	left := wire.AnnouncedUpstream(req.ID, m.Service, m.Direct, m.DataCenter, true)
	return []wire.Member{left.WithStartTime(max(req.Incarnation, m.Incarnation))}
}

const (
	expiryInterval = 250 * time.Millisecond
	// joinGap is the time between two commands of members, so that many that
	// start at once share few commands and few deltas.
	joinGap = 50 * time.Millisecond
	// standstill is a pause between two steps after which the leader cannot
	// tell who was silent: it did not listen itself.
	standstill = time.Second
)

func (l *leases) run(ctx context.Context) {
	ticker := l.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.Chan():
		}
		if !l.step(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.clock.After(joinGap):
		}
	}
}

// step replicates joins and expiries and reports whether there were any.
func (l *leases) step(ctx context.Context) bool {
	status := l.cluster.Status()
	now := l.clock.Now()
	still := now.Sub(l.lastStep) > standstill
	l.lastStep = now
	if !l.cluster.IsLeader() {
		l.term = 0
		l.takePending() // members renew at the leader
		return false
	}
	if l.term != status.Term || still {
		l.term = status.Term
		l.grantAll(now)
	}
	return l.commit(ctx)
}

// grantAll grants every member a whole lease from now on.
func (l *leases) grantAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range l.cluster.View().Members {
		s := l.seen[id]
		s.at, s.granted, s.incarnation = now, true, max(m.Incarnation, s.incarnation)
		l.seen[id] = s
	}
}

func (l *leases) commit(ctx context.Context) bool {
	cmd := state.Command{Join: l.takePending(), Remove: l.expired()}
	if len(cmd.Join) == 0 && len(cmd.Remove) == 0 {
		return false
	}
	for _, rm := range cmd.Remove {
		l.ring.Record(timeline.Event{Kind: "lease-expired", Detail: string(rm.ID)})
	}
	ctx, cancel := context.WithTimeout(ctx, standstill/2)
	defer cancel()
	l.cluster.Propose(ctx, cmd) // members renew again, so a lost command is made again
	return true
}

func (l *leases) takePending() []wire.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]wire.Member, 0, len(l.pending))
	for _, m := range l.pending {
		out = append(out, m)
	}
	clear(l.pending)
	return out
}

const (
	// announcedLease is the lease of an announced upstream: five signs of life
	// of one every 1.2 s, since they may arrive seconds late.
	announcedLease = 6 * time.Second
	// leavingLease is how long the record of one that leaves is kept, so that a
	// sign of life that is seconds late does not bring it back.
	leavingLease = 30 * time.Second
)

// ttlOf returns how long the member may be silent.
func (l *leases) ttlOf(m wire.Member) time.Duration {
	switch {
	case m.Direct == "":
		return l.ttl
	case m.Leaving:
		return leavingLease
	}
	return announcedLease
}

// expired lists the members whose lease has ended. What was seen of them is
// kept until the removal is in the view, so that a lost command is made again;
// then it is forgotten, so that the process may come back under any
// incarnation.
func (l *leases) expired() []state.Removal {
	now := l.clock.Now()
	members := l.cluster.View().Members
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []state.Removal
	for id, m := range members {
		s, ok := l.seen[id]
		if !ok {
			l.seen[id] = seen{at: now, incarnation: m.Incarnation, granted: true}
			continue
		}
		if now.Sub(s.at) > l.ttlOf(m) {
			out = append(out, state.Removal{ID: id, Incarnation: m.Incarnation})
		}
	}
	for id, s := range l.seen {
		if _, member := members[id]; !member && now.Sub(s.at) > l.ttl {
			delete(l.seen, id)
		}
	}
	return out
}

// report lists the members with what the leader last heard from them. A lease
// that was granted is no sign of life.
func (l *leases) report() []wire.MemberStatus {
	now := l.clock.Now()
	view := l.cluster.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.MemberStatus
	for id, m := range view.Members {
		row := wire.MemberStatus{Member: m, LastSeen: -1}
		if s, ok := l.seen[id]; ok {
			row.ConfigVersion, row.Fault = s.version, s.fault
			if !s.granted {
				row.LastSeen = now.Sub(s.at)
			}
		}
		out = append(out, row)
	}
	return out
}
