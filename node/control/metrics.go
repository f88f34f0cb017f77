package control

import (
	"expvar"
	"sync/atomic"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/consensus"
)

// metricsSource is the service that the expvar "control" reports on. Where tests run several services in one
// process, it is the one started last.
var metricsSource atomic.Pointer[Service]

func init() {
	expvar.Publish("control", expvar.Func(func() any {
		if s := metricsSource.Load(); s != nil {
			return s.metrics()
		}
		return struct{}{}
	}))
}

// metrics is this process's view of its cluster, computed on request.
type metrics struct {
	Leads         bool           `json:"leads"`
	Leader        string         `json:"leader"` // empty if unknown
	Term          uint64         `json:"term"`
	Last          uint64         `json:"last"`
	Committed     uint64         `json:"committed"`
	Applied       uint64         `json:"applied"`
	Version       uint64         `json:"version"`      // configuration version in force in this process
	StampAgeMs    int64          `json:"stamp_age_ms"` // age of the last confirmation by a quorum; negative if there was none
	Voters        int            `json:"voters"`
	Learners      int            `json:"learners"`
	Votes         bool           `json:"votes"`     // this process is a voter
	Joined        bool           `json:"joined"`    // this process belongs to a cluster
	Suspended     bool           `json:"suspended"` // its disk does not accept writes
	SnapshotIndex uint64         `json:"snapshot_index"`
	Owner         string         `json:"owner"` // process that owns the stage queues
	OwnerEpoch    uint64         `json:"owner_epoch"`
	OwnerCPU      int            `json:"owner_millicores"`   // CPU share of the owner; 0 if unknown
	OwnerControl  bool           `json:"owner_with_control"` // the owner has the control role
	Members       map[string]int `json:"members"`            // counts by service (or role) and state
	Waits         string         `json:"waits"`              // what the repair of the voter set is waiting for

	Rollouts map[string]rolloutMetrics `json:"rollouts,omitempty"` // by service
}

func (s *Service) metrics() metrics {
	st, v := s.cluster.Status(), s.cluster.View()
	owner := v.Members[v.Owner.ID]
	out := metrics{Leads: st.Role == consensus.Leader, Leader: string(st.Leader), Term: st.Term, Last: st.LastIndex, Committed: st.Committed, Applied: st.Applied,
		Version: v.Config.Version, StampAgeMs: s.cluster.StampAge().Milliseconds(), Voters: len(st.Membership.Voters), Learners: len(st.Membership.Learners),
		Votes: st.Membership.IsVoter(st.ID), Joined: s.joined(), Suspended: s.cluster.Outage() != nil, SnapshotIndex: st.SnapshotIndex,
		Owner: string(v.Owner.ID), OwnerEpoch: v.Owner.Epoch, OwnerCPU: owner.Millicores, OwnerControl: hasControlRole(owner), Members: map[string]int{}, Waits: s.repair.Report()}
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

// rolloutMetrics describes a service's last rollout. The answers are those reported to this leader.
type rolloutMetrics struct {
	Target  string            `json:"target"`
	State   wire.RolloutState `json:"state"`
	Share   float64           `json:"share"`
	Answers uint64            `json:"answers"` // of the target version
	Bad     uint64            `json:"bad"`     // bad ones among Answers
	Others  uint64            `json:"others"`  // answers of the other versions
}

func (t *rolloutTracker) metrics(r wire.Rollouts) map[string]rolloutMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]rolloutMetrics{}
	for _, x := range r.List {
		f := rolloutMetrics{Target: x.Target, State: x.State, Share: x.Share}
		if j := t.byService[x.Service]; j != nil && j.order == x.Order {
			f.Answers, f.Bad, f.Others = j.judge.Target.Answers, j.judge.Target.Bad, j.judge.Baseline.Answers
		}
		out[x.Service] = f
	}
	return out
}
