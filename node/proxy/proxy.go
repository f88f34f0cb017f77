// Package proxy serves callers on routes: it accepts a call, has its stages run, sends it to an announced upstream
// and passes the response on unchanged.
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
	"caperdrum.org/node/calltime"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/connlimit"
	"caperdrum.org/node/controlclient"
	"caperdrum.org/node/ingress"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/residency"
	"caperdrum.org/node/retry"
	"caperdrum.org/node/rollout"
	"caperdrum.org/node/security"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/streamorigin"
	"caperdrum.org/node/upstream"
)

const (
	// headerTimeout and idleTimeout limit slow callers. They are no shorter than the limits that the configuration
	// may set, which change while the listener is open.
	headerTimeout       = 10 * time.Second
	idleTimeout         = 60 * time.Second
	defaultMaxBodyBytes = 4 << 20
	// readyTimeout limits a question for readiness and its answer.
	readyTimeout = 10 * time.Second
	// defaultRetryAfter is the Retry-After of calls that were not run for lack of an upstream or of memory.
	defaultRetryAfter = 200 * time.Millisecond
	// minOutageWait and maxOutageWait bound the Retry-After of calls refused because this process lost control or
	// has just started: an election and the first synchronization take about a second, and many callers retry only
	// once.
	minOutageWait = 900 * time.Millisecond
	maxOutageWait = 1500 * time.Millisecond
	// staleAfter is the age of the last confirmation by a quorum above which refusals for an unknown route or key
	// are no longer final, as it may be new.
	staleAfter = 3 * time.Second
	// writeGrace is how long after its deadline a response is still sent to a slowly reading caller. A caller that
	// left cannot be told from one that reads nothing.
	writeGrace = 10 * time.Second
	// finalResponseTime is the part of the time to stop that is reserved for final responses to calls in progress.
	finalResponseTime = 500 * time.Millisecond
)

// Params are the dependencies of New.
type Params struct {
	dig.In
	Settings   *settings.Settings
	Log        logr.Logger
	Protocol   upstream.Protocol
	ConfigSync *configsync.Service    `name:"configsync"`
	Control    *controlclient.Service `name:"controlclient"`
	Stages     *stagework.Service     `name:"stagework"`
	Origins    *streamorigin.Service  `name:"streamorigin"`
	Ingress    *ingress.Service       `name:"ingress"`
	Notices    *upstream.Notices
	Counter    *rollout.Counter
	Security   *security.Store    `optional:"true"`
	Limits     *connlimit.Service `optional:"true"`
}

// viewSource is the part of configsync.Service that the proxy uses.
type viewSource interface {
	StampAge() time.Duration
	// ConfirmedFor returns for how long the view has been confirmed without a gap; see package configsync.
	ConfirmedFor() time.Duration
	Self() wire.Member
	SetLeaving(leaving bool)
}

// stages is the part of stagework.Service that the proxy uses. Run has the stages of a call run.
type stages interface {
	Run(ctx context.Context, j stagework.Job) (r stagework.Result, release stagework.Release, err error)
	// Choose has an engine chosen for a call without stages.
	Choose(ctx context.Context, j stagework.Job) (r stagework.Result, release stagework.Release, ok bool)
	// Permit asks the stage owner for a permit for one of the upstreams, which limit their requests; see
	// package stagework.
	Permit(ctx context.Context, service string, list []wire.Member, refused int) stagework.PermitReply
	// Silent returns for how long the stage owner has not answered.
	Silent() time.Duration
}

// streamOrigins is the part of streamorigin.Service that the proxy uses.
type streamOrigins interface {
	Begin(ctx context.Context, r streamorigin.Record) (held bool)
	Find(ctx context.Context, key streamorigin.Key) (origin streamorigin.Origin, known bool)
}

// ingressLimits is the part of ingress.Service that the proxy uses.
type ingressLimits interface {
	// Listen returns a listener that takes connections from l within the limits of this process.
	Listen(l net.Listener, memoryFull func() bool) net.Listener
	ConnState(c net.Conn, state http.ConnState)
	// Limited reports whether this process turns away callers.
	Limited() bool
	// NoteConnectionWait records how long a call waited for a connection to an upstream of a service.
	NoteConnectionWait(service string, took time.Duration)
}

// Service is the HTTP server for callers.
type Service struct {
	set            *settings.Settings
	log            logr.Logger
	protocol       upstream.Protocol
	views          viewSource
	stages         stages
	origins        streamOrigins
	ingress        ingressLimits                                                       // nil: no limits
	soleVersion    func(ctx context.Context, service string) (version string, ok bool) // see controlclient.Service
	secure         *security.Store
	clients        *connlimit.Service // nil: no limits
	pool           *upstream.Pool
	notices        *upstream.Notices
	endpoints      *endpoints
	table          atomic.Pointer[table]
	startup        *startupWait
	rotated        <-chan time.Time       // when the load balancer has noticed that the process is not ready; set by BeginStop
	notReadyReason atomic.Pointer[string] // last reported state: why this process is not ready, empty if it is; nil before the first report
	callsContext   context.Context        // cancelled when calls must get their final response
	cancelCalls    context.CancelFunc
	server         *http.Server
	readyServer    *http.Server
	stopBackground context.CancelFunc
	peers          *retry.Peers
	repeats        *retry.Quota
	crashDetector  *quarantine.CrashDetector
	reporter       *quarantine.Reporter
	guard          *quarantine.Guard
	trials         *quarantine.Trials
	evidence       *quarantine.Evidence
	running        *running
	memory         *memoryBudget
	callTimes      calltime.Times            // of calls that were answered, by route
	stopAt         atomic.Pointer[time.Time] // when the calls that are left get their final responses; nil unless the process is stopping
	counter        *rollout.Counter          // of responses per version during a rollout
	rollouts       *rollout.Reporter         // reports these counts
}

// New returns the service. Start opens its listeners.
func New(p Params) *Service {
	s := newService(p.Settings, p.Log, p.Protocol, p.Notices, p.ConfigSync, p.Stages, p.Origins)
	s.reporter = quarantine.NewReporter(s.reportTo(p.Control.ReportCrashes))
	s.counter = p.Counter
	s.rollouts = &rollout.Reporter{Counter: p.Counter, Clock: clockwork.NewRealClock(), Self: p.ConfigSync.Self, Processes: s.processCount, Send: p.Control.ReportRollouts,
		OnError: func(err error) { s.log.Info("rollout counts not acknowledged", "error", err.Error()) }}
	s.ingress = p.Ingress
	s.server.ConnState = p.Ingress.ConnState
	s.secure, s.clients = p.Security, p.Limits
	s.soleVersion = p.Control.SoleVersion
	p.ConfigSync.OnChange(s.applyView)
	return s
}

func newService(set *settings.Settings, log logr.Logger, protocol upstream.Protocol, notices *upstream.Notices, views viewSource, stages stages, origins streamOrigins) *Service {
	s := &Service{set: set, log: log, protocol: protocol, views: views, stages: stages, origins: origins,
		pool: upstream.NewPool(protocol, notices), endpoints: newEndpoints(notices), notices: notices, startup: newStartupWait(clockwork.NewRealClock())}
	s.soleVersion = func(context.Context, string) (string, bool) { return "", false }
	s.initQuota(boottime.System())
	s.running, s.counter = newRunning(), rollout.NewCounter()
	s.memory = newMemoryBudget(set.Node.MemoryMB)
	s.guard, s.reporter = quarantine.NewGuard(), quarantine.NewReporter(noReports)
	s.evidence, s.trials = quarantine.NewEvidence(s.guard), quarantine.NewTrials()
	s.crashDetector = quarantine.NewCrashDetector(s.pool.Probe, s.upstreamCrashed, boottime.System())
	s.callsContext, s.cancelCalls = context.WithCancel(context.Background())
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes, ConnContext: withConnection}
	s.readyServer = &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: wire.MaxRequestHeadBytes}
	return s
}

// initQuota creates this process's share of the limits that hold over all processes.
func (s *Service) initQuota(clock clockwork.Clock) {
	p := s.set.Proxy
	s.peers = retry.NewPeers(p.RepeatWindow, clock, retry.Confirmations{ConfirmedFor: s.views.ConfirmedFor, Gap: configsync.MaxConfirmationGap})
	s.repeats = retry.NewQuota(retry.Limit{Ratio: p.RepeatRatio, Fixed: p.RepeatFixed, Window: p.RepeatWindow}, clock, s.peers)
}

// applyView applies a new view of the configuration and the members.
func (s *Service) applyView(v *configsync.View) {
	previous := s.table.Load()
	t := newTable(v, s.set.Node.RegionByDataCenter(), previous)
	s.table.Store(t)
	if t.config != nil && previous != nil && previous.config != t.config {
		s.callTimes.Retain(t.routeNames())
	}
	s.endpoints.setRollouts(v.Rollouts)
	s.counter.Update(v.Rollouts)
	s.clients.SetMaxHead(connlimit.Callers, v.Config.Limits.MaxHeaderBytes)
	self := s.views.Self()
	here, known := v.Members.Get(self.ID)
	s.peers.Update(retry.Membership{Members: t.proxyCount, IncludesSelf: known && here.Start() == self.Start()})
	s.crashDetector.UpdateMembers(v.Members)
	if s.guard.Update(v.Suspects) {
		s.running.cancelBarred()
	}
	if v.Version > 0 {
		s.startup.setConfigured()
	}
	for _, address := range s.endpoints.update(v.AllVersions) {
		s.pool.CloseIdle(address)
	}
}

// processCount returns the number of proxy processes, this one included.
func (s *Service) processCount() int {
	if t := s.table.Load(); t != nil {
		return t.proxyCount
	}
	return 1
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	callers, err := s.clients.Listen(s.set.Proxy.Listen, connlimit.Callers, s.secure.Encrypt(security.Callers))
	if err != nil {
		return errors.Trace(err)
	}
	ready, err := s.clients.Listen(s.set.Proxy.Ready, connlimit.Readiness, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if s.ingress != nil {
		callers = s.ingress.Listen(callers, s.memory.full)
	}
	s.clients.SetCountedBody(connlimit.Callers, uncountedBytes)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBackground = cancel
	go s.clients.Serve(s.server, callers)
	go s.clients.Serve(s.readyServer, ready)
	go s.pool.Run(ctx)
	go s.reporter.Run(ctx)
	go s.rollouts.Run(ctx)
	return nil
}

// BeginStop implements kernel.Drainer. The process reports from now on that it is not ready.
func (s *Service) BeginStop() {
	at := time.Now().Add(s.set.Node.DrainTimeout - finalResponseTime)
	if !s.stopAt.CompareAndSwap(nil, &at) {
		return
	}
	s.rotated = time.After(s.rotation())
	s.views.SetLeaving(true)
	s.log.Info("readiness changed", "ready", false, "reason", "stopping")
}

// Stop implements kernel.Stopper. The process keeps serving until the load balancer has noticed that it is not ready, and
// then finishes the calls in progress.
func (s *Service) Stop(ctx context.Context) error {
	s.BeginStop()
	if deadline, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(deadline)-finalResponseTime, s.cancelCalls).Stop()
	}
	select {
	case <-s.rotated:
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	s.readyServer.Close()
	s.stopBackground()
	s.pool.Close()
	return err
}

// exchange is one call on a route and its response.
type exchange struct {
	s            *Service
	w            http.ResponseWriter
	r            *http.Request
	call         upstream.Call
	table        *table
	stampAge     time.Duration // age of the last confirmation; the table is as new as this or newer
	route        *optext.Route
	service      *optext.Service
	customer     *optext.Customer
	allowed      residency.AllowedDataCenters // data centres in which it may be served
	version      *string                      // software version at which its stream began; nil if it has not begun
	body         []byte
	memory       callMemory // reserved for the call's body and response
	bodyRead     bool
	callerGone   bool // the caller no longer reads the response
	began        time.Time
	deadline     time.Time
	sends        int    // attempts so far
	repeatReason reason // why the next attempt repeats another; empty for the first
	mayHaveRun   bool   // an attempt has run or may have run
	resumed      bool   // the next attempt goes on with a stream that has begun

	answering atomic.Bool                      // an upstream has begun to answer
	trial     atomic.Pointer[wire.Fingerprint] // the barred part with which it is sent all the same; nil for none

	savedFailure   *plainAnswer  // nil if no upstream has answered with a failure
	firstByte      time.Duration // time until the response began
	firstEventAt   time.Time     // first event of the attempt in progress; zero if none has arrived
	begunReported  bool          // of the attempt in progress; see reportBegun
	stagesDone     bool          // the results of the stages are available
	inputs         []string      // handles of these results
	releaseResults stagework.Release
	engine         wire.MemberID // chosen by the stage owner; empty if it chose none
	fetchFrom      string        // address from which that engine fetches parts of the prompt; empty for none
	engineOutcome  stagework.EngineOutcome
	permit         upstream.Permit // for the next attempt; zero if none is needed
	permitted      wire.MemberID   // upstream of that permit
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{s: s, w: w, r: r, began: time.Now(), memory: callMemory{budget: s.memory}}
	x.loadTable()
	defer x.memory.release()
	if s.stopping() || s.ingress != nil && s.ingress.Limited() {
		w.Header().Set("Connection", "close") // sends the caller's next call to another process
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	if err := x.readBody(); err != nil {
		x.refuse(err)
		return
	}
	if err := x.findOrigin(r.Context()); err != nil {
		x.refuse(err)
		return
	}
	s.evidence.Seen(x.quarantineCall())
	if err := x.checkServable(); err != nil {
		x.refuse(err)
		return
	}
	if err := x.checkStop(); err != nil {
		x.refuse(err)
		return
	}
	s.log.V(logging.Routine).Info("call admitted", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "customer", x.customerName(),
		"bytes", len(x.body), "left", time.Until(x.deadline), "config_version", x.table.version, "stamp_age", logging.Age(s.views.StampAge()))
	callsVar.Add(x.route.Name, 1)
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(s.callsContext, cancel)()
	ctx, done := s.running.add(ctx, x)
	defer done()
	var err error
	if x.route.Streaming {
		err = x.serveStream(ctx)
	} else {
		err = x.servePlain(ctx)
	}
	if barred := barredCause(ctx); err != nil && barred != nil {
		err = barred
	}
	if err != nil && !x.sendSavedFailure() {
		x.refuse(err)
	}
}

// outageRetryAfter returns a random Retry-After for calls refused while control is lost, so that callers do not
// all retry at the same time.
func outageRetryAfter() time.Duration { return minOutageWait + rand.N(maxOutageWait-minOutageWait) }

// stale reports whether what this process does not know may be known to others.
func (s *Service) stale() bool { return s.views.StampAge() > staleAfter }

// loadTable loads the table by which the call is admitted. The age of the confirmation is read first: a view is in the table
// before its confirmation counts, so the table is as new as this age or newer.
func (x *exchange) loadTable() {
	x.stampAge = x.s.views.StampAge()
	x.table = x.s.table.Load()
}

// stale reports whether a route or key that is not in the call's table may be known to others.
func (x *exchange) stale() bool { return x.stampAge > staleAfter }

// hopByHop are headers that apply to a single connection (RFC 9110, section 7.6.1).
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
