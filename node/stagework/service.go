package stagework

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/upstream"
)

const (
	// ownerTick is how often the owner looks for jobs whose time is over and
	// upstreams whose pause has ended, while there are jobs.
	ownerTick = 20 * time.Millisecond
	// freeInterval is how long results are collected before they are freed.
	freeInterval = 40 * time.Millisecond
	freeTimeout  = time.Second
	maxAnswer    = 1 << 20 // bytes of an answer to a call for pieces
)

// Params are what the service needs.
type Params struct {
	dig.In
	Log        logr.Logger
	Dial       peer.Dialer
	Protocol   upstream.Protocol
	ConfigSync *configsync.Service `name:"configsync"`
	Discovery  *discovery.Service  `name:"discovery"`
	Control    *control.Service    `name:"control" optional:"true"`
}

// Service hands jobs to their owner, and is an owner itself when others take
// it for one.
type Service struct {
	log      logr.Logger
	protocol upstream.Protocol
	pool     *upstream.Pool
	sync     *configsync.Service
	events   chan func(now time.Time)
	ctx      context.Context
	cancel   context.CancelFunc
	callers  *callers

	scheduler *scheduler         // of the owner's goroutine
	toFree    map[*worker][]made // of the owner's goroutine
	freeing   bool               // of the owner's goroutine
}

// New returns the service and adds its methods to the process's peer server.
func New(p Params) *Service {
	s := &Service{log: p.Log, protocol: p.Protocol, pool: upstream.NewPool(p.Protocol), sync: p.ConfigSync,
		events: make(chan func(time.Time), 256), scheduler: newScheduler(), toFree: map[*worker][]made{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.callers = newCallers(p.Dial, p.ConfigSync)
	server := p.Discovery.Server()
	if server == nil {
		server = p.Control.Server()
	}
	peer.Handle(server, methodRun, s.run)
	peer.Handle(server, methodDone, s.done)
	peer.Handle(server, methodPing, s.ping)
	p.ConfigSync.OnChange(func(v *configsync.View) {
		s.post(func(time.Time) { s.scheduler.setServices(v.Config.Services, v.Announced) })
	})
	return s
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	go s.loop()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.callers.close()
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
			return
		case f := <-s.events:
			f(time.Now())
		case <-timer.C:
			armed = false
			s.free(s.scheduler.expire(time.Now()))
		}
		for _, c := range s.scheduler.start(time.Now()) {
			go s.call(c)
		}
		if !armed && len(s.scheduler.jobs) > 0 {
			timer.Reset(ownerTick)
			armed = true
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
		s.scheduler.add(now, *j, func(r Result, err error) { answered <- answer{r, err} })
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

func (s *Service) done(_ context.Context, d *Done) (*control.Empty, error) {
	s.post(func(time.Time) { s.free(s.scheduler.done(d.ID)) })
	return &control.Empty{}, nil
}

func (s *Service) ping(context.Context, *control.Empty) (*control.Empty, error) {
	return &control.Empty{}, nil
}

// call makes a call of an upstream.
func (s *Service) call(c *call) {
	o := s.exchange(c)
	if o.results == nil {
		s.log.Info("stage call failed", "service", c.service, "upstream", c.worker.member.ID, "address", c.worker.member.Direct,
			"pieces", len(c.pieces), "full", o.full, "moved", o.moved, "limit", c.limit, "took", time.Since(c.began), "error", o.err)
	}
	s.post(func(now time.Time) {
		s.free(s.scheduler.finish(now, c, o))
	})
}

func (s *Service) exchange(c *call) outcome {
	ctx, cancel := context.WithTimeout(s.ctx, c.limit)
	defer cancel()
	path, body := s.protocol.RunPieces(c.request)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.Tell(header, upstream.Told{Instance: c.worker.member.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Address: c.worker.member.Direct, Method: http.MethodPost, Target: path,
		Host: c.worker.member.Direct, Header: header, Body: body, Fresh: true})
	if err != nil {
		return outcome{err: err.Error()}
	}
	defer resp.Close()
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return outcome{moved: true, err: "another upstream has the address"}
	case resp.Answer.NotRun:
		return outcome{full: true, err: "full"}
	case resp.Status != http.StatusOK:
		return outcome{err: http.StatusText(resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return outcome{err: err.Error()}
	}
	results, err := s.protocol.PieceResults(data)
	if err == nil && len(results) != len(c.pieces) {
		err = errors.Errorf("%d results for %d pieces", len(results), len(c.pieces))
	}
	if err != nil {
		return outcome{err: err.Error()}
	}
	return outcome{results: results}
}

// free collects results that are given up and frees them a little later, many
// in a call.
func (s *Service) free(results []made) {
	for _, m := range results {
		if !m.worker.gone {
			s.toFree[m.worker] = append(s.toFree[m.worker], m)
		}
	}
	if s.freeing || len(s.toFree) == 0 {
		return
	}
	s.freeing = true
	time.AfterFunc(freeInterval, func() { s.post(func(time.Time) { s.sendFree() }) })
}

func (s *Service) sendFree() {
	s.freeing = false
	for w, results := range s.toFree {
		go s.freeAt(w.member, results)
	}
	clear(s.toFree)
}

// freeAt is not repeated: results that stay are gone by themselves soon.
func (s *Service) freeAt(m wire.Member, results []made) {
	defer s.post(func(time.Time) { s.scheduler.freed(results) })
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.handle
	}
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	defer cancel()
	path, body := s.protocol.FreeResults(handles)
	header := http.Header{"Content-Type": {"application/json"}}
	s.protocol.Tell(header, upstream.Told{Instance: m.ID})
	resp, err := s.pool.Do(ctx, &upstream.Request{Address: m.Direct, Method: http.MethodPost, Target: path, Host: m.Direct, Header: header, Body: body})
	if err != nil {
		s.log.V(1).Info("results not freed", "upstream", m.ID, "error", err.Error())
		return
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		s.log.V(1).Info("results perhaps not freed", "upstream", m.ID, "error", err.Error())
	}
}

// callers are the links to the owners in use.
type callers struct {
	dial peer.Dialer
	sync *configsync.Service

	mu      sync.Mutex
	clients map[string]*peer.Client
	suspect map[wire.MemberID]time.Time // owners that did not answer, and when
}

func newCallers(dial peer.Dialer, sync *configsync.Service) *callers {
	return &callers{dial: dial, sync: sync, clients: map[string]*peer.Client{}, suspect: map[wire.MemberID]time.Time{}}
}

const (
	// suspectTime is how long an owner that did not answer is passed over. Above
	// the lease of a member that died.
	suspectTime = 5 * time.Second
	// pingInterval and pingTimeout bound how long a job hangs on an owner that is
	// frozen or cut off.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 350 * time.Millisecond
	// maxOwners is how many owners a job is handed to at most.
	maxOwners = 3
)

// owner returns the owner's record and the link to it.
func (c *callers) owner() (wire.Member, *peer.Client, bool) {
	view := c.sync.View()
	if view == nil {
		return wire.Member{}, nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := ownerOf(view.Members, func(id wire.MemberID) bool { return time.Since(c.suspect[id]) < suspectTime })
	if !ok {
		return m, nil, false
	}
	client := c.clients[m.Peer]
	if client == nil {
		client = peer.NewClient(m.Peer, c.dial)
		c.clients[m.Peer] = client
	}
	return m, client, true
}

func (c *callers) avoid(id wire.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect[id] = time.Now()
}

func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}

// Run has the stages of a call done, and returns the handles that its own run
// takes. release must be called once the results are not needed any more. An
// owner that does not answer is replaced by the next one.
func (s *Service) Run(ctx context.Context, j Job) (r Result, release func(), err error) {
	deadline := time.Now().Add(j.Left)
	goal := time.Now().Add(j.Goal)
	for range maxOwners {
		m, client, ok := s.callers.owner()
		if !ok {
			break
		}
		j.Left, j.Goal = time.Until(deadline), time.Until(goal)
		release = func() { s.release(client, j.ID) }
		lost := false
		if r, lost, err = s.runAt(ctx, client, j); !lost {
			if err != nil {
				release()
			}
			return r, release, err
		}
		s.log.Info("stage owner lost", "owner", m.ID, "request", j.ID, "error", err.Error())
		s.callers.avoid(m.ID)
	}
	if err == nil || ctx.Err() == nil {
		err = verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "no process owns the stages")
	}
	return Result{}, func() {}, err
}

// runAt reports lost when the owner cannot be reached.
func (s *Service) runAt(ctx context.Context, client *peer.Client, j Job) (r Result, lost bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.watch(ctx, client, cancel)
	err = client.Call(ctx, methodRun, j, &r)
	var v *verdict.Error
	switch {
	case err == nil || errors.As(err, &v):
		return r, false, err
	case context.Cause(ctx) == errOwnerSilent:
		return r, true, errOwnerSilent
	case ctx.Err() != nil:
		return r, false, errNoTime()
	}
	return r, true, err
}

var errOwnerSilent = errors.New("stagework: the owner does not answer")

// watch gives up an owner that does not answer a ping.
func (s *Service) watch(ctx context.Context, client *peer.Client, giveUp context.CancelCauseFunc) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ping, cancel := context.WithTimeout(ctx, pingTimeout)
		err := client.Call(ping, methodPing, control.Empty{}, nil)
		cancel()
		if err != nil && ctx.Err() == nil {
			giveUp(errOwnerSilent)
			return
		}
	}
}

func (s *Service) release(client *peer.Client, id string) {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := client.Notify(ctx, methodDone, Done{ID: id}); err != nil {
		s.log.V(1).Info("results not released", "request", id, "error", err.Error())
	}
}
