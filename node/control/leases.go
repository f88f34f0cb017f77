package control

import (
	"context"
	"sync"
	"time"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/replica"
	"caperdrum.org/node/state"
)

// Renewal is one member's sign of life.
type Renewal struct {
	Member        wire.Member `json:"member"`
	ConfigVersion uint64      `json:"config_version"`
}

// leases is the leader's memory of when it last heard from each member. It is
// not replicated: a new leader grants every member one whole lease. Joining,
// leaving and expiry are replicated.
type leases struct {
	replica *replica.Replica
	ttl     time.Duration
	ring    *timeline.Ring

	mu      sync.Mutex
	seen    map[wire.MemberID]seen
	pending []wire.Member
	wake    chan struct{}
}

type seen struct {
	at          time.Time
	incarnation uint64
	version     uint64
}

func newLeases(r *replica.Replica, ttl time.Duration, ring *timeline.Ring) *leases {
	return &leases{replica: r, ttl: ttl, ring: ring, seen: map[wire.MemberID]seen{}, wake: make(chan struct{}, 1)}
}

// renew notes signs of life and queues the members that the state does not
// hold as they are.
func (l *leases) renew(rs []Renewal) {
	members := l.replica.View().Members
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rs {
		old := l.seen[r.Member.ID]
		if old.incarnation > r.Member.Incarnation {
			continue // a late message of an earlier start
		}
		l.seen[r.Member.ID] = seen{now, r.Member.Incarnation, r.ConfigVersion}
		if known, ok := members[r.Member.ID]; ok && (known == r.Member || known.Incarnation > r.Member.Incarnation) {
			continue
		}
		l.pending = append(l.pending, r.Member)
	}
	if len(l.pending) > 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

const expiryInterval = 250 * time.Millisecond

func (l *leases) run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	leading := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		if !l.replica.IsLeader() {
			leading = false
			continue
		}
		if !leading {
			leading = true
			l.grantAll()
		}
		l.commit(ctx)
	}
}

// grantAll starts a new leadership: nobody expires before a whole lease.
func (l *leases) grantAll() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range l.replica.View().Members {
		if s := l.seen[id]; now.Sub(s.at) > l.ttl/2 {
			l.seen[id] = seen{now, m.Incarnation, s.version}
		}
	}
}

// commit replicates joins and expiries, if there are any.
func (l *leases) commit(ctx context.Context) {
	cmd := state.Command{Join: l.takePending(), Remove: l.expired()}
	if len(cmd.Join) == 0 && len(cmd.Remove) == 0 {
		return
	}
	for _, rm := range cmd.Remove {
		l.ring.Record(timeline.Event{Kind: "lease-expired", Detail: string(rm.ID)})
	}
	ctx, cancel := context.WithTimeout(ctx, l.ttl)
	defer cancel()
	l.replica.Propose(ctx, cmd) // members renew again, so a lost command is made again
}

func (l *leases) takePending() []wire.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := map[wire.MemberID]int{}
	var out []wire.Member
	for _, m := range l.pending {
		if i, ok := latest[m.ID]; ok {
			out[i] = m
			continue
		}
		latest[m.ID] = len(out)
		out = append(out, m)
	}
	l.pending = nil
	return out
}

func (l *leases) expired() []state.Removal {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []state.Removal
	for id, m := range l.replica.View().Members {
		s, ok := l.seen[id]
		if !ok {
			l.seen[id] = seen{at: now, incarnation: m.Incarnation}
			continue
		}
		if now.Sub(s.at) > l.ttl {
			out = append(out, state.Removal{ID: id, Incarnation: m.Incarnation})
			delete(l.seen, id)
		}
	}
	return out
}

// report lists the members with what the leader last heard from them.
func (l *leases) report() []wire.MemberStatus {
	now := time.Now()
	view := l.replica.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.MemberStatus
	for id, m := range view.Members {
		row := wire.MemberStatus{Member: m, LastSeen: -1}
		if s, ok := l.seen[id]; ok {
			row.LastSeen, row.ConfigVersion = now.Sub(s.at), s.version
		}
		out = append(out, row)
	}
	return out
}
