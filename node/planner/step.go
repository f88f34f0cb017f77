package planner

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/state"
)

// step makes one plan and replicates its decisions.
func (s *Service) step(ctx context.Context, term uint64) {
	view := s.replica.View()
	cfg := s.config(view)
	if cfg == nil {
		return
	}
	now := time.Now()
	in := Input{Now: now, Specs: Specs(cfg), Forecast: view.Forecast}
	if len(in.Specs) == 0 {
		return
	}
	in.Engines, in.Misses = s.engineSnapshot(view, now)
	s.countHeldTime(in, now)
	plan := s.planner.Plan(in)
	for service, n := range plan.Targets {
		setInt(targetVar, service, int64(n))
	}
	s.propose(ctx, term, cfg.WeightStore, plan, now)
	if plan.Rollback != nil {
		s.proposeRollback(ctx, view, plan.Rollback)
	}
}

// config returns the parsed configuration. It is cached, as a plan is made every second.
func (s *Service) config(view *state.View) *optext.Config {
	if s.cfg != nil && s.cfgVersion == view.Config.Version {
		return s.cfg
	}
	cfg, err := s.cfg.ParseIncremental("configuration", view.Config.Text)
	if err != nil {
		s.log.Error(err, "cannot parse the configuration, no plan made", "version", view.Config.Version)
		return nil
	}
	s.cfg, s.cfgVersion = cfg, view.Config.Version
	return cfg
}

// engineSnapshot joins the agents' reports with the replicated orders, and returns the misses since the last
// snapshot by service.
func (s *Service) engineSnapshot(view *state.View, now time.Time) ([]Engine, map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	misses := s.misses
	s.misses = map[string]int64{}
	var engines []Engine
	for id, p := range s.polls {
		if _, member := view.Members[id]; !member || now.Sub(p.at) > pollExpiry {
			continue
		}
		engines = append(engines, Engine{ID: id, Service: p.Service, State: p.Engine, Running: p.Running, Seen: p.Seen,
			Synced: p.Established && !p.reportsPending, Fence: view.Fences[id], Last: view.Orders[id],
			InFlight: p.InFlight, Queued: p.Queued, Limit: p.Limit, Arrivals: p.Arrived - p.countedArrivals})
		p.countedArrivals = p.Arrived
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	return engines, misses
}

func (s *Service) countHeldTime(in Input, now time.Time) {
	if !s.lastStep.IsZero() {
		passed := now.Sub(s.lastStep).Seconds()
		for _, e := range in.Engines {
			if len(e.State.Holds) > 0 {
				heldVar.AddFloat(e.Service, passed)
			}
		}
	}
	s.lastStep = now
}

func (s *Service) propose(ctx context.Context, term uint64, store *optext.WeightStore, plan Plan, now time.Time) {
	cmd := &state.OrderCommand{Epoch: term, Elapsed: now.Sub(s.start).Milliseconds(), End: plan.End, Forecast: plan.Forecast}
	if store != nil {
		cmd.Rate, cmd.Burst = store.Rate, store.Burst
	}
	for _, issue := range plan.Issue {
		if issue.Order.Bytes == 0 || !now.Before(s.storeRetry) {
			cmd.Issue = append(cmd.Issue, issue)
		}
	}
	if len(cmd.End)+len(cmd.Issue)+len(cmd.Forecast) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := s.replica.Propose(ctx, state.Command{Orders: cmd})
	if err != nil {
		s.log.V(logging.Detail).Info("orders not replicated", "error", err.Error())
		return // the next plan starts from the committed state
	}
	for i, r := range res.Orders {
		s.recordIssue(cmd, cmd.Issue[i].Order, r, now)
	}
}

func (s *Service) recordIssue(cmd *state.OrderCommand, o wire.Order, r state.IssueResult, now time.Time) {
	if r.Refused == "" {
		issuedVar.Add(1)
		what := string(o.Kind) + " " + o.Artifact.String() + o.Role
		s.log.Info("order issued", "upstream", o.Upstream, "token", r.Token, "order", what)
		s.ring.Record(timeline.Event{Kind: "order-issued", Detail: string(o.Upstream) + " " + what})
		return
	}
	refusedVar.Add(string(r.Refused), 1)
	if r.Refused == state.RefusedBudget {
		wait := time.Duration(float64(o.Bytes) / float64(cmd.Rate) * float64(time.Second))
		s.storeRetry = now.Add(min(wait, stepInterval))
	}
}

// proposeRollback restores the old version in the configuration by an ordinary numbered change. Its change ID
// is derived from the configuration that it corrects, so that a repetition by another leader has no effect.
func (s *Service) proposeRollback(ctx context.Context, view *state.View, r *Rollback) {
	text, err := replaceArtifact(view.Config.Text, r)
	if err != nil {
		s.log.Error(err, "cannot roll back the model", "service", r.Service)
		return
	}
	change := &wire.ChangeRequest{Number: view.Config.Version + 1, Text: text, Author: "planner",
		ChangeID: "rollback-" + r.Service + "-" + r.From.String() + "-" + view.Winner}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := s.replica.Propose(ctx, state.Command{Change: change})
	if err != nil || res.Change == nil {
		return
	}
	s.log.Info("model rolled back", "service", r.Service, "from", r.From.String(), "to", r.To.String(), "accepted", res.Change.Accepted)
	s.ring.Record(timeline.Event{Kind: "model-rolled-back", Detail: r.Service + " " + r.From.String() + " to " + r.To.String()})
}

// replaceArtifact replaces one artifact in the models key of one service and leaves every other byte of the
// text unchanged.
func replaceArtifact(text string, r *Rollback) (string, error) {
	lines := strings.Split(text, "\n")
	inside := false
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			inside = trimmed == "[service:"+r.Service+"]"
		}
		key, _, _ := strings.Cut(trimmed, "=")
		if inside && strings.TrimSpace(key) == "models" {
			lines[i] = replaceInList(line, r)
		}
	}
	next := strings.Join(lines, "\n")
	if next == text {
		return "", errors.Errorf("planner: %s is not in the models of service %s", r.From, r.Service)
	}
	_, err := optext.Parse("configuration", []byte(next))
	return next, errors.Trace(err)
}

func replaceInList(line string, r *Rollback) string {
	key, list, _ := strings.Cut(line, "=")
	items := strings.Split(list, ",")
	for i, item := range items {
		if strings.TrimSpace(item) == r.From.String() {
			items[i] = strings.Replace(item, r.From.String(), r.To.String(), 1)
		}
	}
	return key + "=" + strings.Join(items, ",")
}

// Specs returns the specs of the services that have models, sorted by name.
func Specs(cfg *optext.Config) []Spec {
	var out []Spec
	for _, sv := range cfg.Services {
		if len(sv.Models) == 0 {
			continue
		}
		spec := Spec{Service: sv.Name, Role: sv.EngineRole, Scale: sv.Scale != optext.ScaleOff, Forecast: sv.Scale == optext.ScaleForecast,
			MinWarm: sv.MinWarm, IdleAfter: sv.IdleAfter, WakeLead: sv.WakeLead, LoadTimeout: sv.LoadTimeout,
			WeightBytes: sv.WeightBytes, Deadline: deadlineOf(cfg, sv.Name)}
		for _, m := range sv.ModelList() {
			spec.Artifacts = append(spec.Artifacts, wire.ParseArtifact(m))
		}
		out = append(out, spec)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

const noDeadline = time.Hour // for a service that no pipeline uses

func deadlineOf(cfg *optext.Config, service string) time.Duration {
	least := noDeadline
	for _, pl := range cfg.Pipelines {
		for _, st := range pl.Stages {
			if st.Service == service {
				least = min(least, pl.Deadline)
			}
		}
	}
	return least
}
