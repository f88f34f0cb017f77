package control

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// Renewal is a member's lease renewal. Fault is the member's error with the last configuration text, if any.
type Renewal struct {
	Member        wire.Member `json:"member"`
	ConfigVersion uint64      `json:"config_version"`
	Fault         string      `json:"fault,omitempty"`
}

// leases tracks on the leader when each member last renewed its lease. This state is not replicated: a new
// leader grants every member a full lease. Joins, leaves and expiries are replicated.
type leases struct {
	cluster cluster
	clock   clockwork.Clock
	ttl     time.Duration
	ring    *timeline.Ring

	mu       sync.Mutex
	renewals map[wire.MemberID]lastRenewal
	pending  map[wire.MemberID]wire.Member
	wake     chan struct{}

	term     uint64    // term in which leases were last granted
	lastStep time.Time // accessed only by run's goroutine
}

type lastRenewal struct {
	at          time.Time
	incarnation uint64
	version     uint64
	fault       string
	millicores  int
	implicit    bool // the lease was granted by the leader; the member has not renewed it since
}

func newLeases(c cluster, clock clockwork.Clock, ttl time.Duration, ring *timeline.Ring) *leases {
	return &leases{cluster: c, clock: clock, ttl: ttl, ring: ring, renewals: map[wire.MemberID]lastRenewal{},
		pending: map[wire.MemberID]wire.Member{}, wake: make(chan struct{}, 1)}
}

// record notes renewals, and queues the records that differ from those in the member list.
func (l *leases) record(rs []Renewal) {
	members := l.cluster.View().Members
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rs {
		known, ok := members[r.Member.ID]
		old := l.renewals[r.Member.ID]
		valid := ok || now.Sub(old.at) <= l.ttl
		if valid && max(old.incarnation, known.Incarnation) > r.Member.Incarnation {
			continue // a delayed message of an earlier incarnation, or the VM's clock was set back
		}
		l.renewals[r.Member.ID] = lastRenewal{at: now, incarnation: r.Member.Incarnation, version: r.ConfigVersion, fault: r.Fault, millicores: r.Member.Millicores}
		pendingMember, queued := l.pending[r.Member.ID]
		if queued && !r.Member.NewerThan(pendingMember) {
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

// lastStart describes the latest start of a member that a leader knows of.
type lastStart struct {
	incarnation uint64 // may be newer than the one in the member list
	heard       bool   // whether the member has renewed its lease since this process became the leader
	millicores  int    // CPU share; 0 if unknown
}

// lastStart returns the latest known start of the member with the given record.
func (l *leases) lastStart(m wire.Member) lastStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.renewals[m.ID]
	out := lastStart{incarnation: max(m.Incarnation, s.incarnation), heard: known && !s.implicit, millicores: m.Millicores}
	switch {
	case !out.heard || s.incarnation < m.Incarnation:
	case s.incarnation > m.Incarnation:
		out.millicores = s.millicores
	default: // either may lack the share: a process of the previous version proposed the record, or forwarded the renewal
		out.millicores = max(m.Millicores, s.millicores)
	}
	return out
}

// maxDepartedUpstreams bounds the records of upstreams that left before they were known, since anyone who reaches
// the front end can send such a message for any id.
const maxDepartedUpstreams = 2048

// Reasons not to acknowledge that an upstream leaves.
var (
	errTooManyDeparted = errors.Errorf("control: %d upstreams that were not known have left within %v; send it again later", maxDepartedUpstreams, leavingLease)
	errNoUpstream      = errors.New("control: the id belongs to a process of caperdrum, not to an upstream")
)

// leavingRecords returns the record that marks an announced upstream as leaving. An upstream that is neither in the
// member list nor about to join gets one as well, as a heartbeat that was delayed would otherwise add it. There is
// none if the request belongs to an earlier incarnation than the one that is known.
func (l *leases) leavingRecords(req *wire.LeaveRequest) ([]wire.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := l.cluster.View().Members
	m, known := l.pending[req.ID]
	if !known {
		m, known = members[req.ID]
	}
	switch {
	case !known:
		if l.countDeparted(members) >= maxDepartedUpstreams {
			return nil, errTooManyDeparted
		}
		return []wire.Member{wire.DepartedUpstream(req.ID).WithStartTime(req.Incarnation)}, nil
	case m.Role != wire.AnnouncedRole:
		return nil, errNoUpstream
	case req.Incarnation != 0 && req.Incarnation < m.Incarnation:
		return nil, nil
	}
	left := wire.AnnouncedUpstream(req.ID, m.Service, m.Direct, m.DataCenter, true)
	left.Version = m.Version
	return []wire.Member{left.WithStartTime(max(req.Incarnation, m.Incarnation))}, nil
}

// countDeparted returns the number of records of upstreams that left before they were known. The caller holds the lock.
func (l *leases) countDeparted(members map[wire.MemberID]wire.Member) (n int) {
	for _, m := range members {
		if m.Departed() {
			n++
		}
	}
	for id, m := range l.pending {
		if _, listed := members[id]; !listed && m.Departed() {
			n++
		}
	}
	return n
}

const (
	expiryInterval = 250 * time.Millisecond
	// minCommitGap is the pause between two commands that change members, so that processes that start
	// together share commands and deltas.
	minCommitGap = 50 * time.Millisecond
	// stallThreshold is the pause between two steps above which the leader cannot tell which members were
	// silent, since it did not process renewals itself.
	stallThreshold = time.Second
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
		case <-l.clock.After(minCommitGap):
		}
	}
}

// step replicates joins and expiries and reports whether there were any.
func (l *leases) step(ctx context.Context) bool {
	status := l.cluster.Status()
	now := l.clock.Now()
	stalled := now.Sub(l.lastStep) > stallThreshold
	l.lastStep = now
	if !l.cluster.IsLeader() {
		l.term = 0
		l.takePending() // members will renew at the leader
		return false
	}
	if l.term != status.Term || stalled {
		l.term = status.Term
		l.grantFullLeases(now)
	}
	return l.commit(ctx)
}

// grantFullLeases restarts the lease of every member at now.
func (l *leases) grantFullLeases(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range l.cluster.View().Members {
		s := l.renewals[id]
		s.at, s.implicit, s.incarnation = now, true, max(m.Incarnation, s.incarnation)
		l.renewals[id] = s
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
	ctx, cancel := context.WithTimeout(ctx, stallThreshold/2)
	defer cancel()
	l.cluster.Propose(ctx, cmd) // a lost command is proposed again, since members keep renewing
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
	// announcedLease is the lease of an announced upstream. It allows for five heartbeats of an upstream that
	// sends one every 1.2 s, since they may arrive seconds late.
	announcedLease = 6 * time.Second
	// leavingLease is how long the record of a leaving upstream is kept, so that a heartbeat that arrives
	// seconds late does not add it again.
	leavingLease = 30 * time.Second
)

// ttlOf returns the lease duration of the member.
func (l *leases) ttlOf(m wire.Member) time.Duration {
	switch {
	case m.Role != wire.AnnouncedRole:
		return l.ttl
	case m.Leaving:
		return leavingLease
	}
	return announcedLease
}

// expired returns the members whose lease has expired. Their last renewals are kept until the removal is in
// the view, so that a lost command is proposed again. After that they are deleted, so that the process may
// rejoin under any incarnation.
func (l *leases) expired() []state.Removal {
	now := l.clock.Now()
	members := l.cluster.View().Members
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []state.Removal
	for id, m := range members {
		s, ok := l.renewals[id]
		if !ok {
			l.renewals[id] = lastRenewal{at: now, incarnation: m.Incarnation, implicit: true}
			continue
		}
		if now.Sub(s.at) > l.ttlOf(m) {
			out = append(out, state.Removal{ID: id, Incarnation: m.Incarnation})
		}
	}
	for id, s := range l.renewals {
		if _, member := members[id]; !member && now.Sub(s.at) > l.ttl {
			delete(l.renewals, id)
		}
	}
	return out
}

// report returns the members with what the leader last received from them. A lease granted by the leader does
// not count as received.
func (l *leases) report() []wire.MemberStatus {
	now := l.clock.Now()
	view := l.cluster.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.MemberStatus
	for id, m := range view.Members {
		row := wire.MemberStatus{Member: m, LastSeen: -1}
		if s, ok := l.renewals[id]; ok {
			row.ConfigVersion, row.Fault = s.version, s.fault
			if !s.implicit {
				row.LastSeen = now.Sub(s.at)
			}
		}
		out = append(out, row)
	}
	return out
}
