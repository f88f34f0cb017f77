package control

import (
	"context"
	"slices"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/state"
)

// MethodEvacuate starts or ends the evacuation of a data centre.
const MethodEvacuate = "control.evacuate"

// Evacuate commits an evacuation order and returns once a quorum has stored it, so that an acknowledged order
// survives the losses that the settings tolerate. An order is rejected without effect if another one was
// committed after its base revision.
func (s *Service) Evacuate(ctx context.Context, o *wire.EvacuationOrder) (*wire.EvacuationResult, error) {
	if !s.cluster.IsLeader() {
		return nil, s.notLeader()
	}
	if err := s.checkEvacuation(o.DataCenter); err != nil {
		s.log.Info("evacuation refused", "data_center", o.DataCenter, "out", o.Evacuate, "reason", err.Error())
		return nil, err
	}
	res, err := s.cluster.Propose(ctx, state.Command{Evacuate: o})
	if err != nil {
		s.log.Info("evacuation not committed", "data_center", o.DataCenter, "out", o.Evacuate, "error", err.Error())
		return nil, s.leaderError(err)
	}
	r := res.Evacuation
	s.log.Info("evacuation committed", "data_center", o.DataCenter, "out", o.Evacuate, "author", o.Author, "base", o.Base,
		"revision", r.Evacuation.Revision, "changed", r.Changed, "overtaken", r.Overtaken)
	if r.Overtaken {
		return nil, errOvertaken(r.Evacuation)
	}
	s.ring.Record(timeline.Event{Kind: "evacuation-ordered", Detail: o.DataCenter + " by " + o.Author})
	return r, nil
}

func errOvertaken(e wire.Evacuation) error {
	return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "another order for data centre %s came first: it has revision %d now", e.DataCenter, e.Revision)
}

// checkEvacuation returns why an order for the data centre must be rejected, or nil. If the settings list no
// data centres, those are known that contain a member or had an order before.
func (s *Service) checkEvacuation(dataCenter string) error {
	v := s.cluster.View()
	if err := s.checkReadyForOrders(v); err != nil {
		return err
	}
	if !s.knowsDataCenter(v, dataCenter) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no data centre %q is known", dataCenter)
	}
	return nil
}

// checkReadyForOrders returns why operators' orders cannot be accepted yet, or nil.
func (s *Service) checkReadyForOrders(v *state.View) error {
	switch {
	case v.Config.Version == 0:
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no configuration yet")
	case !s.enoughVoters():
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too few control processes have joined yet")
	}
	return nil
}

func (s *Service) knowsDataCenter(v *state.View, name string) bool {
	if slices.Contains(s.set.Node.DataCenters, name) || v.Evacuations.Of(name).Revision > 0 {
		return true
	}
	for _, m := range v.Members {
		if m.DataCenter == name {
			return true
		}
	}
	return false
}

// Evacuations returns the evacuations that this process has applied.
func (s *Service) Evacuations() wire.Evacuations { return s.cluster.View().Evacuations }
