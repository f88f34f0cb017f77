package streamorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/discovery"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
)

// Peer methods of processes that hold records.
const (
	methodTake = "stream.take"
	methodFind = "stream.find"
)

// timeouts bound the waits for other processes.
type timeouts struct {
	// begin bounds how long the first event of a stream waits for a copy of its record. A stream without a copy goes
	// on all the same; it cannot be taken up at another process.
	begin time.Duration
	// take bounds a call that sends copies, after which they go to another process.
	take time.Duration
	// find bounds how long a caller waits that takes a stream up.
	find time.Duration
}

// defaultTimeouts allow calls for the replacement of a silent connection, which takes about 0.45 s.
var defaultTimeouts = timeouts{begin: 80 * time.Millisecond, take: 600 * time.Millisecond, find: time.Second}

const (
	// maxBatch bounds the records of one message.
	maxBatch = 512
	// maxQueued bounds the records that wait for one process; further ones go to another process.
	maxQueued = 8192
)

// Params are the dependencies of New.
type Params struct {
	dig.In
	Log        logr.Logger
	Dial       peer.Dialer
	ConfigSync *configsync.Service `name:"configsync"`
	Discovery  *discovery.Service  `name:"discovery"`
	Control    *control.Service    `name:"control" optional:"true"`
}

// Service records where streams begin and finds the records of others. It is safe for concurrent use.
type Service struct {
	log    logr.Logger
	dial   peer.Dialer
	clock  clockwork.Clock
	limits timeouts
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	tracker   *Tracker
	processes []wire.Member
	peers     map[string]*holder // by peer address
	waiting   map[Key][]chan struct{}
	sending   sync.WaitGroup
}

// holder is a process to which copies are sent. One message is under way to it at a time; what comes meanwhile
// goes into the next one.
type holder struct {
	member wire.Member
	client *peer.Client
	queue  []Record
	busy   bool
}

// New returns the service and registers its methods with the process's peer server.
func New(p Params) *Service {
	s := newService(p.Log, p.Dial, boottime.System())
	s.register(control.PeerServer(p.Discovery, p.Control))
	p.ConfigSync.OnChange(func(v *configsync.View) { s.SetProcesses(p.ConfigSync.Self().ID, v.Proxies) })
	return s
}

func newService(log logr.Logger, dial peer.Dialer, clock clockwork.Clock) *Service {
	s := &Service{log: log, dial: dial, clock: clock, limits: defaultTimeouts, tracker: NewTracker(), peers: map[string]*holder{}, waiting: map[Key][]chan struct{}{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *Service) register(server *peer.Server) {
	peer.Handle(server, methodTake, s.handleTake)
	peer.Handle(server, methodFind, s.handleFind)
}

// Stop implements kernel.Stopper. It hands the records over to the processes that hold them from now on.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	list := s.tracker.HandOver(s.clock.Now())
	s.dispatch(list)
	s.mu.Unlock()
	if len(list) > 0 {
		s.log.Info("stream records handed over", "copies", len(list))
	}
	sent := make(chan struct{})
	go func() { s.sending.Wait(); close(sent) }()
	select {
	case <-sent:
	case <-time.After(s.limits.take):
	case <-ctx.Done():
	}
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.peers {
		h.client.Close()
	}
	return nil
}

// SetProcesses applies a member list of the processes; self is this one.
func (s *Service) SetProcesses(self wire.MemberID, processes []wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configsync.SameList(s.processes, processes) {
		return
	}
	s.processes = processes
	present := map[string]bool{}
	for _, m := range processes {
		present[m.Peer] = true
	}
	for address, h := range s.peers {
		if !present[address] && !h.busy {
			h.client.Close()
			delete(s.peers, address)
		}
	}
	list := s.tracker.SetProcesses(s.clock.Now(), self, processes)
	if len(list) > 0 {
		movedVar.Add(int64(len(list)))
		s.log.V(logging.Detail).Info("stream records copied again", "copies", len(list))
	}
	s.dispatch(list)
}

// Begin records where a stream began. It returns once another process has a copy, and after a time limit at the
// latest; held says whether one has.
func (s *Service) Begin(ctx context.Context, r Record) (held bool) {
	begunVar.Add(1)
	taken := make(chan struct{})
	s.mu.Lock()
	list := s.tracker.Begin(s.clock.Now(), r)
	if len(list) == 0 {
		s.mu.Unlock()
		return s.countHeld(false)
	}
	s.waiting[r.Key] = append(s.waiting[r.Key], taken)
	s.dispatch(list)
	s.mu.Unlock()
	timeout := time.NewTimer(s.limits.begin)
	defer timeout.Stop()
	select {
	case <-taken:
	case <-timeout.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := slices.DeleteFunc(s.waiting[r.Key], func(c chan struct{}) bool { return c == taken }); len(left) > 0 {
		s.waiting[r.Key] = left
	} else {
		delete(s.waiting, r.Key)
	}
	return s.countHeld(s.tracker.Held(s.clock.Now(), r.Key))
}

func (s *Service) countHeld(held bool) bool {
	if !held {
		unheldVar.Add(1)
	}
	return held
}

// dispatch queues copies for their processes. The caller must hold the lock.
func (s *Service) dispatch(list []Send) {
	for len(list) > 0 {
		x := list[0]
		list = list[1:]
		h := s.peer(x.To)
		if len(h.queue) >= maxQueued {
			list = append(list, s.tracker.Failed(s.clock.Now(), x.To, x.Record.Key)...)
			s.wake(x.Record.Key)
			continue
		}
		h.queue = append(h.queue, x.Record)
		if !h.busy {
			h.busy = true
			s.sending.Add(1)
			go s.send(h)
		}
	}
}

func (s *Service) peer(m wire.Member) *holder {
	h := s.peers[m.Peer]
	if h == nil {
		h = &holder{client: peer.NewClient(m.Peer, s.dial)}
		s.peers[m.Peer] = h
	}
	h.member = m
	return h
}

// send sends what is queued for a process until nothing is.
func (s *Service) send(h *holder) {
	defer s.sending.Done()
	for {
		s.mu.Lock()
		if len(h.queue) == 0 {
			h.busy = false
			s.mu.Unlock()
			return
		}
		to, batch := h.member, h.queue[:min(len(h.queue), maxBatch)]
		h.queue = h.queue[len(batch):]
		s.mu.Unlock()
		err := call(s.ctx, s.limits.take, h.client, methodTake, batch, nil)
		copiesVar.Add(int64(len(batch)))
		s.mu.Lock()
		now := s.clock.Now()
		if err != nil {
			failedVar.Add(int64(len(batch)))
			s.log.Info("stream records not taken", "process", to.ID, "records", len(batch), "error", err.Error())
		}
		for _, r := range batch {
			if err == nil {
				s.tracker.Acked(now, r.Key)
			} else {
				s.dispatch(s.tracker.Failed(now, to, r.Key))
			}
			s.wake(r.Key)
		}
		recordsVar.Set(int64(s.tracker.Len()))
		s.mu.Unlock()
	}
}

// wake tells those that wait for a copy that there is one, or that none is on its way. The caller must hold the lock.
func (s *Service) wake(key Key) {
	if len(s.waiting[key]) == 0 || s.tracker.Pending(s.clock.Now(), key) {
		return
	}
	for _, taken := range s.waiting[key] {
		close(taken)
	}
	delete(s.waiting, key)
}

// Find returns the origin of a stream. It is not known unless this process or one that answers in time has a record.
func (s *Service) Find(ctx context.Context, key Key) (origin Origin, known bool) {
	s.mu.Lock()
	answer := s.tracker.Find(s.clock.Now(), key)
	var clients []*peer.Client
	if !answer.Known && !answer.Conflict {
		for _, m := range s.tracker.Askable(key) {
			clients = append(clients, s.peer(m).client)
		}
	}
	s.mu.Unlock()
	if len(clients) == 0 {
		return s.found(key, answer, "here", 0, 0)
	}
	answers := make(chan *Answer, len(clients))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range clients {
		go func() {
			a := new(Answer)
			if call(ctx, s.limits.find, c, methodFind, key, a) != nil {
				a = nil
			}
			answers <- a
		}()
	}
	lookup := NewLookup(len(clients))
	for !lookup.Add(<-answers) {
	}
	answer = lookup.Result()
	if answer.Known {
		s.mu.Lock()
		s.tracker.Take(s.clock.Now(), Record{Key: key, Origin: answer.Origin, TTL: answer.TTL})
		s.mu.Unlock()
	}
	return s.found(key, answer, "elsewhere", len(clients), lookup.silent)
}

// found counts and logs the result of Find.
func (s *Service) found(key Key, a Answer, where string, asked, silent int) (Origin, bool) {
	result := where
	switch {
	case a.Conflict:
		result = "conflict"
	case !a.Known:
		result = "unknown"
	}
	findsVar.Add(result, 1)
	s.log.Info("stream looked up", "resumes", key.Attempt, "customer", key.Customer, "result", result, "service", a.Origin.Service, "version", a.Origin.Version, "asked", asked, "silent", silent)
	return a.Origin, a.Known
}

func (s *Service) handleTake(_ context.Context, list *[]Record) (*control.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, r := range *list {
		s.tracker.Take(now, r)
	}
	recordsVar.Set(int64(s.tracker.Len()))
	evictedVar.Set(int64(s.tracker.Evicted()))
	return &control.Empty{}, nil
}

func (s *Service) handleFind(_ context.Context, key *Key) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.tracker.Find(s.clock.Now(), *key)
	return &a, nil
}

// call calls a method, for a limited time.
func call(ctx context.Context, limit time.Duration, client *peer.Client, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return client.CallIdempotent(ctx, method, params, result)
}
