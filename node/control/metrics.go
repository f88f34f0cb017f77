package control

import (
	"expvar"
	"sync/atomic"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
)

// shown is the service whose figures the metric "control" shows: the process's own. Tests
// run several in one process; the last one started counts.
var metricsSource atomic.Pointer[Service]

func init() {
	expvar.Publish("control", expvar.Func(func() any {
		if s := metricsSource.Load(); s != nil {
			return s.metrics()
		}
		return struct{}{}
	}))
}

// figures are what this process believes of its cluster, made when they are asked for.
type metrics struct {
	Leads         bool           `json:"leads"`
	Leader        string         `json:"leader"` // empty: none is known
	Term          uint64         `json:"term"`
	Last          uint64         `json:"last"`
	Committed     uint64         `json:"committed"`
	Applied       uint64         `json:"applied"`
	Version       uint64         `json:"version"`      // of the text in force here
	StampAgeMs    int64          `json:"stamp_age_ms"` // of the last confirmation by a quorum; below zero: never
	Voters        int            `json:"voters"`
	Learners      int            `json:"learners"`
	Votes         bool           `json:"votes"`     // this process is a voter
	Joined        bool           `json:"joined"`    // it belongs to a cluster
	Suspended     bool           `json:"suspended"` // its disk takes no bytes
	SnapshotIndex uint64         `json:"snapshot_index"`
	Owner         string         `json:"owner"` // of the stage queues
	OwnerEpoch    uint64         `json:"owner_epoch"`
	Members       map[string]int `json:"members"` // by service, or role, and state
	Waits         string         `json:"waits"`   // what repair of the voters waits for

	Rollouts map[string]rolloutMetrics `json:"rollouts,omitempty"` // by service
}

func (s *Service) metrics() metrics {
	st, v := s.cluster.Status(), s.cluster.View()
	out := metrics{Leads: st.Role == consensus.Leader, Leader: string(st.Leader), Term: st.Term, Last: st.Last, Committed: st.Committed, Applied: st.Applied,
		Version: v.Config.Version, StampAgeMs: s.cluster.StampAge().Milliseconds(), Voters: len(st.Membership.Voters), Learners: len(st.Membership.Learners),
		Votes: st.Membership.Has(st.ID), Joined: s.joined(), Suspended: s.cluster.Outage() != nil, SnapshotIndex: st.SnapshotIndex,
		Owner: string(v.Owner.ID), OwnerEpoch: v.Owner.Epoch, Members: map[string]int{}, Waits: s.repair.Report()}
	for _, m := range v.Members {
		kind := m.Service
		if kind == "" {
			kind = m.Role
		}
		state := "ready"
		if m.Leaving {
			state = "leaving"
		}
		out.Members[kind+"/"+state]++
	}
	out.Rollouts = s.rollouts.metrics(v.Rollouts)
	return out
}

// rolloutFigures are what is known of a service's last roll-out. The answers are those that the leader
// has heard of.
type rolloutMetrics struct {
	Target  string            `json:"target"`
	State   wire.RolloutState `json:"state"`
	Share   float64           `json:"share"`
	Answers uint64            `json:"answers"` // of the target
	Bad     uint64            `json:"bad"`     // of these
	Others  uint64            `json:"others"`  // answers of the other versions
}

func (l *rolloutTracker) metrics(r wire.Rollouts) map[string]rolloutMetrics {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]rolloutMetrics{}
	for _, x := range r.List {
		f := rolloutMetrics{Target: x.Target, State: x.State, Share: x.Share}
		if j := l.byService[x.Service]; j != nil && j.order == x.Order {
			f.Answers, f.Bad, f.Others = j.judge.Target.Answers, j.judge.Target.Bad, j.judge.Others.Answers
		}
		out[x.Service] = f
	}
	return out
}
