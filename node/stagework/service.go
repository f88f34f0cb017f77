package stagework

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/upstream"
)

const (
	// ownerTick is how often the owner checks for expired jobs and for upstreams whose pause
	// has ended, while there are jobs.
	ownerTick = 20 * time.Millisecond
	// freeInterval is how long results are collected before they are freed together.
	freeInterval = 40 * time.Millisecond
	freeTimeout  = time.Second
	// reportTimeout bounds the wait for an upstream's report of its free room (result memory): it allows
	// for two retransmissions of a lost packet within a region.
	reportTimeout  = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20 // of the response to a call with pieces
)

// Params are the dependencies of the service.
type Params struct {
	dig.In
	Settings   *settings.Settings
	Log        logr.Logger
	Dial       peer.Dialer
	Protocol   upstream.Protocol
	ConfigSync *configsync.Service `name:"configsync"`
	Discovery  *discovery.Service  `name:"discovery"`
	Control    *control.Service    `name:"control" optional:"true"`
	Notices    *upstream.Notices
	Counter    *rollout.Counter
}

// Service submits jobs to the stage owner, the process that owns the stage queues, and is the owner
// itself when the leader has named this process.
type Service struct {
	log      logr.Logger
	protocol upstream.Protocol
	pool     *upstream.Pool
	events   chan func(now time.Time)
	ctx      context.Context
	cancel   context.CancelFunc
	link     *ownerLink

	address     func() string      // this process's peer address
	self        func() wire.Member // this process's member record
	ownership   func() knownOwner
	dial        peer.Dialer
	submissions *submissions

	notices      *upstream.Notices
	limitReports *limitReports

	scheduler         *scheduler              // used by the owner goroutine only, as are the fields below
	callers           map[string]*peer.Client // by peer address, for progress updates
	pendingFrees      map[*worker][]storedResult
	freeScheduled     bool
	epoch             uint64 // of the newest owner known
	stalls            stallDetector
	loggedUnreachable []string // data centres that logReachability logged last
}

// New returns the service and registers its methods with the process's peer server.
func New(p Params) *Service {
	s := &Service{log: p.Log, protocol: p.Protocol, pool: upstream.NewPool(p.Protocol, p.Notices),
		events: make(chan func(time.Time), 256), dial: p.Dial, submissions: newSubmissions(), notices: p.Notices, limitReports: newLimitReports(),
		address: func() string { return p.ConfigSync.Self().Peer }, self: p.ConfigSync.Self, ownership: knownOwnerOf(p.ConfigSync), callers: map[string]*peer.Client{}, scheduler: newScheduler(), pendingFrees: map[*worker][]storedResult{}}
	s.scheduler.counter = p.Counter
	s.scheduler.permits.notices = p.Notices
	p.Notices.OnLimitChanged(func(start wire.Start) { s.limitReports.add(start) })
	s.scheduler.engines.cold = p.Settings.Proxy.ColdLimit()
	s.scheduler.measured = p.Settings.Proxy.MeasuredThroughput
	s.scheduler.hedging.enabled = p.Settings.Proxy.HedgeStages
	if p.Settings.Proxy.FairStages {
		s.scheduler.fairness = newFairness(s.scheduler.loadedThroughput)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.link = newOwnerLink(p.Dial, p.Log)
	s.link.reportSuspect, s.link.control = p.ConfigSync.ReportUnresponsive, p.ConfigSync.ControlUnreachableFor
	server := control.PeerServer(p.Discovery, p.Control)
	peer.Handle(server, methodRun, s.handleRun)
	peer.Handle(server, methodDone, s.handleDone)
	peer.Handle(server, methodProgress, s.handleProgress)
	peer.Handle(server, methodPermit, s.handlePermit)
	peer.Handle(server, methodLimits, s.handleLimits)
	p.ConfigSync.OnChange(func(v *configsync.View) {
		self := p.ConfigSync.Self()
		s.post(func(now time.Time) {
			s.scheduler.setServices(v.Config.Services, v.Announced)
			s.scheduler.engines.setAllVersions(v.AllVersions)
			s.scheduler.followRollouts(v.Rollouts)
			s.upstreamsRestarted(now, s.scheduler.takeRestarted())
			s.closeStaleCallers(v.Proxies)
			s.setOwnership(now, v.Owner, v.Owner.ID == self.ID && v.Owner.Incarnation == self.Incarnation, "view")
		})
		p.Notices.UpdateMembers(v.Members)
		if s.link.setOwner(v.Owner, s.link.handsOver(v.Members)) {
			s.limitReports.add(p.Notices.LimitedUpstreams()...)
		}
	})
	return s
}

// setOwnership takes or gives up the queues, as told by a view or a caller. It ignores owners
// older than the newest known.
func (s *Service) setOwnership(now time.Time, o wire.StageOwner, isOwner bool, source string) {
	if o.Epoch < s.epoch {
		return
	}
	s.epoch = o.Epoch
	if isOwner != s.scheduler.owner {
		since := ""
		if isOwner {
			since = now.UTC().Format(time.RFC3339)
		}
		ownerSince.Set(since)
		s.log.Info("stage ownership changed", "taken", isOwner, "epoch", o.Epoch, "heard_by", source, "jobs", len(s.scheduler.jobs))
	}
	s.scheduleFree(s.scheduler.setOwner(now, isOwner, o.Epoch > 1))
}

// learnOwnership takes the queues when a caller knows that this process was named the owner. Its own
// view may be 0.7 s behind, as the control process that it polls is often on the VM that was lost. A
// process without a view knows no upstreams yet, and takes the queues with its first view.
func (s *Service) learnOwnership(now time.Time, o wire.StageOwner) {
	self := s.self()
	if len(s.scheduler.services) > 0 && o.Epoch > s.epoch && o.ID == self.ID && o.Incarnation == self.Incarnation {
		s.setOwnership(now, o, true, "caller")
	}
}

// upstreamsRestarted drops connections to upstreams that restarted, and restarts the jobs whose
// results were lost.
func (s *Service) upstreamsRestarted(now time.Time, lost []*worker) {
	for _, w := range lost {
		s.pool.CloseIdle(w.member.Direct)
		s.log.Info("upstream restarted", "service", w.member.Service, "upstream", w.member.ID, "address", w.member.Direct, "before", w.member.Incarnation, "held", w.ownBytes)
	}
	s.scheduleFree(s.scheduler.restartLostJobs(now, lost))
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	go s.loop()
	go s.link.monitor(s.ctx)
	go s.pool.Run(s.ctx)
	go s.runLimitReports(s.ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.link.close()
	s.pool.Close()
	return nil
}

// post runs f on the owner goroutine.
func (s *Service) post(f func(now time.Time)) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// loop is the owner goroutine.
func (s *Service) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	armed := true
	for {
		select {
		case <-s.ctx.Done():
			s.closeStaleCallers(nil)
			return
		case f := <-s.events:
			s.confirmPermits(time.Now())
			f(s.now())
			s.drainEvents()
		case <-timer.C:
			armed = false
			s.confirmPermits(time.Now())
			if s.scheduler.hedging.enabled {
				s.drainEvents() // a call whose outcome is queued is not overdue
			}
			s.scheduleFree(s.scheduler.expireJobs(s.now()))
		}
		s.confirmOwnership(time.Now())
		s.logReachability()
		s.sendUpdates(s.scheduler.takeUpdates())
		for _, w := range s.scheduler.dueReports(time.Now()) {
			go s.requestReport(w)
		}
		s.scheduler.setGauges(time.Now())
		for _, c := range s.scheduler.startCalls(time.Now()) {
			s.logHedge(c)
			go s.runCall(c)
		}
		if !armed && len(s.scheduler.jobs) > 0 {
			timer.Reset(ownerTick)
			armed = true
		}
		s.stalls.setArmed(time.Now(), armed)
	}
}

// now returns the time, and tells the scheduler when the process was stalled until now.
func (s *Service) now() time.Time {
	now := time.Now()
	if stalled := s.stalls.observe(now); stalled > 0 {
		s.log.Info("process stalled", "for", stalled, "jobs", len(s.scheduler.jobs), "owner", s.scheduler.owner)
		s.scheduler.recordStall(now)
	}
	return now
}

// drainEvents handles the events already queued before calls are started and updates are sent, so
// that an owner that falls behind starts fewer, fuller calls and sends fewer, longer messages.
func (s *Service) drainEvents() {
	for range cap(s.events) {
		select {
		case f := <-s.events:
			f(s.now())
		default:
			return
		}
	}
}

// handleRun is the owner's side of Run.
func (s *Service) handleRun(ctx context.Context, j *Job) (*Result, error) {
	type answer struct {
		result Result
		err    error
	}
	answered := make(chan answer, 1)
	s.post(func(now time.Time) {
		s.learnOwnership(now, j.Owner)
		s.scheduleFree(s.scheduler.submit(now, *j, func(r Result, err error) {
			r.UnreachableDataCenters = s.scheduler.reachability.unreachableDataCenters()
			s.logJobEnd(j, r, err)
			answered <- answer{r, err}
		}))
		if _, taken := s.scheduler.jobs[j.SubmissionID]; !taken {
			jobsVar.Add(jobRefused, 1)
			rankRefusedVar.Add(j.rankLabel()+"/"+s.scheduler.lastByWorkAhead, 1)
			s.log.Info("job refused", "request", j.ID, "jobs", len(s.scheduler.jobs), "rank", j.rankLabel(), "estimate", s.scheduler.lastEstimate, "by_work_ahead", s.scheduler.lastByWorkAhead, "service", s.scheduler.lastService, "goal", j.Goal, "left", j.TimeLeft, "patience", j.Patience, "owner", s.scheduler.owner,
				"customer", j.Customer, "over_share", s.scheduler.lastOverShare)
		}
	})
	select {
	case a := <-answered:
		return &a.result, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, errStageFailed("the owner of the stages stops")
	}
}

// logJobEnd logs where the time of an admitted job went. Jobs in time are logged at the detail level
// only, as there are up to 170 a second.
func (s *Service) logJobEnd(j *Job, r Result, err error) {
	n, taken := s.scheduler.jobs[j.SubmissionID]
	if !taken {
		return // handleRun logs refusals
	}
	now, level := time.Now(), logging.Routine
	outcome := n.outcomeOf(now, r, err)
	jobsVar.Add(outcome, 1)
	n.countEnd(now, outcome)
	if err == nil && now.Before(n.goal) {
		level = logging.Detail
	}
	s.log.V(level).Info("job ended", "request", j.ID, "priority", j.Priority, "after", now.Sub(n.arrived), "to_goal", n.goal.Sub(now),
		"waited_and_made_ms", n.stageTimings(), "passed_by", n.passedBy(), "estimate", n.estimate, "predicted", n.prediction(), "late", n.late, "rank", n.rankLabel(), "goal_passed_at", n.goalPassedAt(), "customer", j.Customer, "over_share", n.overShare, "restarts", n.restarts, "engine", n.assignedEngine(), "error", err)
}

func (s *Service) handleDone(_ context.Context, d *Done) (*control.Empty, error) {
	s.post(func(now time.Time) { s.scheduleFree(s.scheduler.handleDone(now, *d)) })
	return &control.Empty{}, nil
}

// handleProgress applies the owner's updates on this process's jobs.
func (s *Service) handleProgress(_ context.Context, list *[]ProgressUpdate) (*control.Empty, error) {
	for _, n := range *list {
		s.submissions.apply(n)
	}
	return &control.Empty{}, nil
}

// sendUpdates sends progress updates to the submitting processes.
func (s *Service) sendUpdates(list []addressedUpdate) {
	by := map[string][]ProgressUpdate{}
	for _, n := range list {
		by[n.to] = append(by[n.to], n.ProgressUpdate)
	}
	self := s.address()
	for to, l := range by {
		if to == self {
			s.handleProgress(s.ctx, &l)
			s.scheduleFree(s.scheduler.updatesDelivered(l))
			continue
		}
		client := s.callers[to]
		if client == nil {
			client = peer.NewClient(to, s.dial)
			s.callers[to] = client
		}
		go s.sendUpdate(client, l)
	}
}

// sendUpdate sends updates to one process. A process that does not answer has found another owner
// or is gone, so its jobs end here.
func (s *Service) sendUpdate(client *peer.Client, list []ProgressUpdate) {
	ctx, cancel := context.WithTimeout(s.ctx, updateTimeout)
	defer cancel()
	err := client.CallIdempotent(ctx, methodProgress, list, nil)
	s.post(func(time.Time) {
		if err == nil {
			s.scheduleFree(s.scheduler.updatesDelivered(list))
			return
		}
		s.log.Info("jobs dropped", "reason", "submitting process does not answer", "process", client.Address(), "error", err.Error())
		s.scheduleFree(s.scheduler.dropCaller(client.Address()))
	})
}

// closeStaleCallers closes the connections to processes that are no longer members.
func (s *Service) closeStaleCallers(peers []wire.Member) {
	if len(s.callers) == 0 {
		return
	}
	present := map[string]bool{}
	for _, m := range peers {
		present[m.Peer] = true
	}
	for address, client := range s.callers {
		if !present[address] {
			client.Close()
			delete(s.callers, address)
		}
	}
}
