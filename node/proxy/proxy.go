// Package proxy serves callers on routes: it takes a call, has its stages done,
// sends it to an announced upstream and passes the answer on as it came.
package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/controlclient"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

const (
	// headerTimeout and idleTimeout bound slow callers. They are no less than
	// what the text's limits grant, which change while the listener stands.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeader      = 64 << 10
	defaultMaxBody = 4 << 20
	// comeBack is when a caller is told to come back whose call was not run for
	// lack of an upstream or of room.
	comeBack = 200 * time.Millisecond
	// outageMin and outageMax bound when a caller is told to come back that was
	// refused since this process has lost control, or has just started: an
	// election and the first synchronization take about a second, and many callers
	// have one more try only.
	outageMin = 900 * time.Millisecond
	outageMax = 1500 * time.Millisecond
	// staleAfter is the age of a quorum's confirmation from which on this
	// process no longer refuses for good: a route or key may be new.
	staleAfter = 3 * time.Second
	// lateDelivery is how long after its deadline an answer is still being sent to a caller that reads
	// slowly: one that has left is not told apart from one that reads nothing.
	lateDelivery = 10 * time.Second
	// lastAnswers is left of the time to stop for the final answers of calls
	// that are still under way.
	lastAnswers = 500 * time.Millisecond
)

// Params are what the service needs.
type Params struct {
	dig.In
	Settings   *settings.Settings
	Log        logr.Logger
	Protocol   upstream.Protocol
	ConfigSync *configsync.Service    `name:"configsync"`
	Control    *controlclient.Service `name:"controlclient"`
	Stages     *stagework.Service     `name:"stagework"`
	Notices    *upstream.Notices
	Counter    *rollout.Counter
	Security   *security.Store `optional:"true"`
}

// views is what the proxy asks of synchronization.
type views interface {
	StampAge() time.Duration
	// Steady is for how long the view was confirmed without a gap; see package configsync.
	Steady() time.Duration
	Self() wire.Member
	SetLeaving(leaving bool)
}

// stages has the stages of a call done.
type stages interface {
	Run(ctx context.Context, j stagework.Job) (r stagework.Result, release stagework.Release, err error)
	// Choose has an engine chosen for a call without stages.
	Choose(ctx context.Context, j stagework.Job) (r stagework.Result, release stagework.Release, ok bool)
	// Silent is how long the owner of the stage queues has not answered.
	Silent() time.Duration
}

// Service is the callers' listener on routes.
type Service struct {
	set       *settings.Settings
	log       logr.Logger
	protocol  upstream.Protocol
	sync      views
	stages    stages
	secure    *security.Store
	pool      *upstream.Pool
	notices   *upstream.Notices
	endpoints *endpoints
	table     atomic.Pointer[table]
	first     *firstView
	stopping  atomic.Bool
	unready   atomic.Pointer[string] // why this process is not ready; nil while it is
	ending    context.Context        // ends when calls must get their final answer
	end       context.CancelFunc
	server    *http.Server
	ready     *http.Server
	stopRuns  context.CancelFunc
	peers     *retry.Peers
	repeats   *retry.Quota
	inquiries *quarantine.Inquiries
	reporter  *quarantine.Reporter
	guard     *quarantine.Guard
	answers   *quarantine.Answers
	running   *running
	holdings  *holdings
	counter   *rollout.Counter  // of answers, while a service is rolled out
	rollouts  *rollout.Reporter // of them
}

// New returns the service; Start opens its listeners.
func New(p Params) *Service {
	s := newService(p.Settings, p.Log, p.Protocol, p.Notices, p.ConfigSync, p.Stages)
	s.reporter = quarantine.NewReporter(s.reportTo(p.Control.ReportCrashes))
	s.counter = p.Counter
	s.rollouts = &rollout.Reporter{Counter: p.Counter, Clock: clockwork.NewRealClock(), Self: p.ConfigSync.Self, Processes: s.processes, Send: p.Control.ReportRollouts,
		Lost: func(err error) { s.log.Info("counts of a roll-out not acknowledged", "error", err.Error()) }}
	s.secure = p.Security
	p.ConfigSync.OnChange(s.follow)
	return s
}

func newService(set *settings.Settings, log logr.Logger, protocol upstream.Protocol, notices *upstream.Notices, views views, stages stages) *Service {
	s := &Service{set: set, log: log, protocol: protocol, sync: views, stages: stages,
		pool: upstream.NewPool(protocol, notices), endpoints: newEndpoints(notices), notices: notices, first: newFirstView(clockwork.NewRealClock())}
	s.share(boottime.System())
	s.running, s.counter = newRunning(), rollout.NewCounter()
	s.holdings = newHoldings(set.Node.MemoryMB)
	s.guard, s.answers, s.reporter = quarantine.NewGuard(), quarantine.NewAnswers(), quarantine.NewReporter(noReports)
	s.inquiries = quarantine.NewInquiries(s.pool.Listens, s.endedUnder, boottime.System())
	s.ending, s.end = context.WithCancel(context.Background())
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	s.ready = &http.Server{Handler: http.HandlerFunc(s.answerReady), ReadHeaderTimeout: headerTimeout}
	return s
}

// share sets up what this process has of the bounds over all processes.
func (s *Service) share(clock clockwork.Clock) {
	p := s.set.Proxy
	s.peers = retry.NewPeers(p.RepeatWindow, clock, retry.Confirmations{Steady: s.sync.Steady, Gap: configsync.LongestGap})
	s.repeats = retry.NewQuota(retry.Limit{Ratio: p.RepeatRatio, Fixed: p.RepeatFixed, Window: p.RepeatWindow}, clock, s.peers)
}

// follow takes over a view of the configuration and the members.
func (s *Service) follow(v *configsync.View) {
	t := newTable(v, s.set.Node.RegionByDataCenter(), s.table.Load())
	s.table.Store(t)
	s.endpoints.follow(v.Rollouts)
	s.counter.Follow(v.Rollouts)
	self := s.sync.Self()
	here, known := v.Members.Get(self.ID)
	s.peers.Follow(retry.Standing{Members: t.proxies, Self: known && here.Start() == self.Start()})
	s.inquiries.Follow(v.Members)
	if s.guard.Follow(v.Suspects) {
		s.running.endBarred()
	}
	if v.Version > 0 {
		s.first.set()
	}
	for _, address := range s.endpoints.keep(v.Announced) {
		s.pool.Forget(address)
	}
}

// processes is how many processes there are like this one.
func (s *Service) processes() int {
	if t := s.table.Load(); t != nil {
		return t.proxies
	}
	return 1
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	front, err := s.secure.Listen(s.set.Proxy.Listen, security.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	ready, err := net.Listen("tcp", s.set.Proxy.Ready)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopRuns = cancel
	go s.server.Serve(front)
	go s.ready.Serve(ready)
	go s.pool.Run(ctx)
	go s.reporter.Run(ctx)
	go s.rollouts.Run(ctx)
	return nil
}

// Stop implements kernel.Stopper. The process says at once that it is not
// ready, still serves until the balancer has noticed, and then finishes what
// it has begun.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.sync.SetLeaving(true)
	s.log.Info("readiness changed", "ready", false, "reason", "stopping")
	if deadline, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(deadline)-lastAnswers, s.end).Stop()
	}
	select {
	case <-time.After(s.set.Proxy.Rotation):
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	s.ready.Close()
	s.stopRuns()
	s.pool.Close()
	return err
}

// exchange is one call on a route.
type exchange struct {
	s        *Service
	w        http.ResponseWriter
	r        *http.Request
	call     upstream.Call
	table    *table
	route    *optext.Route
	service  *optext.Service
	customer *optext.Customer
	within   residency.Within // where it may be served
	body     []byte
	held     held // of all that is kept for the call
	gone     bool // the caller takes nothing more
	began    time.Time
	deadline time.Time
	sends    int    // calls of upstreams so far
	again    reason // why the next one repeats another; empty for the first
	mayRan   bool   // one of them has run or may have run

	answering atomic.Bool // an upstream has begun to answer

	kept           *keptAnswer   // nil when no upstream has answered with a failure
	firstByte      time.Duration // until the answer began
	staged         bool          // the results of the stages are there
	inputs         []string      // their handles
	releaseResults stagework.Release
	engine         wire.MemberID // that the owner of the stages chose; empty when it did not
	fetchFrom      string        // address from which that engine fetches parts of the prompt; empty for none
	engineOutcome  stagework.EngineOutcome
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, began: time.Now(), table: s.table.Load(), held: held{all: s.holdings}}
	defer x.held.release()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close") // the caller's next call goes elsewhere
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	if err := x.read(); err != nil {
		x.refuse(err)
		return
	}
	if err := x.hopeless(); err != nil {
		x.refuse(err)
		return
	}
	s.log.V(logging.Routine).Info("call admitted", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "customer", x.customerName(),
		"bytes", len(x.body), "left", time.Until(x.deadline), "config_version", x.table.version, "stamp_age", logging.Age(s.sync.StampAge()))
	callsVar.Add(x.route.Name, 1)
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	ctx, done := s.running.add(ctx, x)
	defer done()
	var err error
	if x.route.Streaming {
		err = x.stream(ctx)
	} else {
		err = x.plain(ctx)
	}
	if barred := barredMeanwhile(ctx); err != nil && barred != nil {
		err = barred
	}
	if err != nil && !x.passKept() {
		x.refuse(err)
	}
}

// afterOutage is when a caller should come back after control was lost, spread so
// that not all come at once.
func afterOutage() time.Duration { return outageMin + rand.N(outageMax-outageMin) }

// stale reports whether a route or key that is unknown here may be known
// elsewhere.
func (s *Service) stale() bool { return s.sync.StampAge() > staleAfter }

// hopByHop are headers that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func dropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
