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
	// ownerTick is how often the owner looks for jobs whose time is over and
	// upstreams whose pause has ended, while there are jobs.
	ownerTick = 20 * time.Millisecond
	// freeInterval is how long results are collected before they are freed.
	freeInterval = 40 * time.Millisecond
	freeTimeout  = time.Second
	// reportTimeout bounds the wait for an upstream's report: two tries of a lost
	// packet on a link within a region.
	reportTimeout = 500 * time.Millisecond
	maxAnswer     = 1 << 20 // bytes of an answer to a call for pieces
)

// Params are what the service needs.
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

// Service hands jobs to their owner, and is an owner itself when others take
// it for one.
type Service struct {
	log      logr.Logger
	protocol upstream.Protocol
	pool     *upstream.Pool
	events   chan func(now time.Time)
	ctx      context.Context
	cancel   context.CancelFunc
	link     *link

	address func() string      // this process's peer address
	self    func() wire.Member // its record
	owner   func() ownership
	dial    peer.Dialer
	handed  *handedIn

	scheduler *scheduler              // of the owner's goroutine
	callers   map[string]*peer.Client // by peer address, to be told of their jobs; of the owner's goroutine
	toFree    map[*worker][]made      // of the owner's goroutine
	freeing   bool                    // of the owner's goroutine
	epoch     uint64                  // of the newest owner that this process knows; of the owner's goroutine
	pulse     pulse                   // of the owner's goroutine
	dark      []string                // data centres, as they were logged last; of the owner's goroutine
}

// New returns the service and adds its methods to the process's peer server.
func New(p Params) *Service {
	s := &Service{log: p.Log, protocol: p.Protocol, pool: upstream.NewPool(p.Protocol, p.Notices),
		events: make(chan func(time.Time), 256), dial: p.Dial, handed: newHandedIn(),
		address: func() string { return p.ConfigSync.Self().Peer }, self: p.ConfigSync.Self, owner: ownershipOf(p.ConfigSync), callers: map[string]*peer.Client{}, scheduler: newScheduler(), toFree: map[*worker][]made{}}
	s.scheduler.counter = p.Counter
	s.scheduler.engines.cold = p.Settings.Proxy.ColdLimit()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.link = newLink(p.Dial, p.Log)
	s.link.suspect, s.link.control = p.ConfigSync.Suspect, p.ConfigSync.Silent
	server := p.Discovery.Server()
	if server == nil {
		server = p.Control.Server()
	}
	peer.Handle(server, methodRun, s.run)
	peer.Handle(server, methodDone, s.done)
	peer.Handle(server, methodNews, s.learn)
	p.ConfigSync.OnChange(func(v *configsync.View) {
		self := p.ConfigSync.Self()
		s.post(func(now time.Time) {
			s.scheduler.setServices(v.Config.Services, v.Announced)
			s.scheduler.followRollouts(v.Rollouts)
			s.startedAgain(now, s.scheduler.takeLost())
			s.keepCallers(v.Peers)
			s.takeOwnership(now, v.Owner, v.Owner.ID == self.ID && v.Owner.Incarnation == self.Incarnation, "view")
		})
		s.link.follow(v.Owner, s.link.handsOver(v.Members))
	})
	return s
}

// takeOwnership takes the queues over, or gives them up, as a view or a caller says. What is
// older than what this process knows already changes nothing.
func (s *Service) takeOwnership(now time.Time, o wire.StageOwner, mine bool, by string) {
	if o.Epoch < s.epoch {
		return
	}
	s.epoch = o.Epoch
	if mine != s.scheduler.owner {
		since := ""
		if mine {
			since = now.UTC().Format(time.RFC3339)
		}
		ownerSince.Set(since)
		s.log.Info("stage queues change hands", "taken", mine, "epoch", o.Epoch, "heard_by", by, "jobs", len(s.scheduler.jobs))
	}
	s.free(s.scheduler.own(now, mine, o.Epoch > 1))
}

// believe takes the queues over when a caller knows that this process was named. Its own
// view may be 0.7 s older: the control process that it asks is often on the VM that was lost.
// One that has no view yet knows no upstreams, and takes the queues with its first view.
func (s *Service) believe(now time.Time, o wire.StageOwner) {
	self := s.self()
	if len(s.scheduler.services) > 0 && o.Epoch > s.epoch && o.ID == self.ID && o.Incarnation == self.Incarnation {
		s.takeOwnership(now, o, true, "caller")
	}
}

// startedAgain ends what is known of upstreams that have started again.
func (s *Service) startedAgain(now time.Time, lost []*worker) {
	for _, w := range lost {
		s.pool.CloseIdle(w.member.Direct)
		s.log.Info("upstream has started again", "service", w.member.Service, "upstream", w.member.ID, "address", w.member.Direct, "before", w.member.Incarnation, "held", w.own)
	}
	s.free(s.scheduler.remake(now, lost))
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	go s.loop()
	go s.link.watch(s.ctx)
	go s.pool.Run(s.ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.link.close()
	s.pool.Close()
	return nil
}

// post hands f to the owner's goroutine.
func (s *Service) post(f func(now time.Time)) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// loop is the owner's goroutine.
func (s *Service) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	armed := true
	for {
		select {
		case <-s.ctx.Done():
			s.keepCallers(nil)
			return
		case f := <-s.events:
			f(s.now())
			s.takeWaiting()
		case <-timer.C:
			armed = false
			s.free(s.scheduler.expire(s.now()))
		}
		s.clearDoubt(time.Now())
		s.logDark()
		s.sendNews(s.scheduler.takeNews())
		for _, w := range s.scheduler.reports(time.Now()) {
			go s.askRoom(w)
		}
		s.scheduler.gauges(time.Now())
		for _, c := range s.scheduler.start(time.Now()) {
			go s.call(c)
		}
		if !armed && len(s.scheduler.jobs) > 0 {
			timer.Reset(ownerTick)
			armed = true
		}
		s.pulse.arm(time.Now(), armed)
	}
}

// now returns the time, and tells the scheduler when the process stood still until now.
func (s *Service) now() time.Time {
	now := time.Now()
	if stood := s.pulse.beat(now); stood > 0 {
		s.log.Info("stood still", "for", stood, "jobs", len(s.scheduler.jobs), "owner", s.scheduler.owner)
		s.scheduler.stoodStill(now)
	}
	return now
}

// takeWaiting handles the events that wait already, before calls are started and processes are
// told: an owner that is behind starts fewer, fuller calls and sends fewer, longer messages.
func (s *Service) takeWaiting() {
	for range cap(s.events) {
		select {
		case f := <-s.events:
			f(s.now())
		default:
			return
		}
	}
}

// run is the owner's side of Run.
func (s *Service) run(ctx context.Context, j *Job) (*Result, error) {
	type answer struct {
		result Result
		err    error
	}
	answered := make(chan answer, 1)
	s.post(func(now time.Time) {
		s.believe(now, j.Owner)
		s.free(s.scheduler.add(now, *j, func(r Result, err error) {
			r.Dark = s.scheduler.reach.list()
			s.ended(j, r, err)
			answered <- answer{r, err}
		}))
		if _, taken := s.scheduler.jobs[j.Handed]; !taken {
			jobsVar.Add(jobRefused, 1)
			s.log.Info("job refused", "request", j.ID, "jobs", len(s.scheduler.jobs), "estimate", s.scheduler.lastEstimate, "goal", j.Goal, "sent_away_before", s.scheduler.lastReturned, "owner", s.scheduler.owner)
		}
	})
	select {
	case a := <-answered:
		return &a.result, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, errStages("the owner of the stages stops")
	}
}

// ended logs where the time of a job went that was taken in. Jobs that are in time have
// a line at the detail level only: there are up to 170 a second.
func (s *Service) ended(j *Job, r Result, err error) {
	n, taken := s.scheduler.jobs[j.Handed]
	if !taken {
		return // refused: its own line says why
	}
	now, level := time.Now(), logging.Routine
	jobsVar.Add(n.outcomeOf(now, r, err), 1)
	if err == nil && now.Before(n.goal) {
		level = logging.Detail
	}
	s.log.V(level).Info("job ended", "request", j.ID, "priority", j.Priority, "after", now.Sub(n.arrived), "to_goal", n.goal.Sub(now),
		"waited_and_made_ms", n.trace(), "estimate", n.estimate, "late", n.late, "sent_away_before", n.returned, "restarts", n.restarts, "engine", n.engine(), "error", err)
}

func (s *Service) done(_ context.Context, d *Done) (*control.Empty, error) {
	s.post(func(now time.Time) { s.free(s.scheduler.done(now, *d)) })
	return &control.Empty{}, nil
}

// learn takes in what the owner has made of this process's jobs.
func (s *Service) learn(_ context.Context, list *[]News) (*control.Empty, error) {
	for _, n := range *list {
		s.handed.learn(n)
	}
	return &control.Empty{}, nil
}

// sendNews tells processes what was made of their jobs.
func (s *Service) sendNews(list []news) {
	by := map[string][]News{}
	for _, n := range list {
		by[n.to] = append(by[n.to], n.News)
	}
	self := s.address()
	for to, l := range by {
		if to == self {
			s.learn(s.ctx, &l)
			s.free(s.scheduler.acked(l))
			continue
		}
		client := s.callers[to]
		if client == nil {
			client = peer.NewClient(to, s.dial)
			s.callers[to] = client
		}
		go s.tell(client, l)
	}
}

// tell tells a process of its jobs. One that does not answer has found another owner,
// or is gone: its jobs end here.
func (s *Service) tell(client *peer.Client, list []News) {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	err := client.Call(ctx, methodNews, list, nil)
	s.post(func(time.Time) {
		if err == nil {
			s.free(s.scheduler.acked(list))
			return
		}
		s.log.Info("jobs given up", "reason", "their process does not answer", "process", client.Address(), "error", err.Error())
		s.free(s.scheduler.loseCaller(client.Address()))
	})
}

// keepCallers closes the connections to processes that are no members any more.
func (s *Service) keepCallers(peers []wire.Member) {
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
