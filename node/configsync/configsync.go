// Package configsync keeps an entry or an agent up to date: it renews the
// process's lease, fetches configuration and members from the control
// processes, and publishes both as immutable views.
//
// A version once held is never replaced by a lower one. The first view is
// published only when a quorum has confirmed it.
package configsync

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/dig"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

// MethodSync is the control role's method that this package calls.
const MethodSync = "control.sync"

// View is an immutable picture of the configuration and the members. Version
// is zero, and Config empty, until the first change was accepted.
type View struct {
	Config    *optext.Config
	Version   uint64
	Text      string
	Seq       uint64
	Members   map[wire.MemberID]wire.Member
	ByService map[string][]wire.Member // agents that are not leaving, by service, sorted by id
}

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
}

// Service holds the current view.
type Service struct {
	log     logr.Logger
	ring    *timeline.Ring
	control *peer.Control

	mu     sync.Mutex
	member wire.Member
	listen []func(*View)

	view  atomic.Pointer[View]
	stamp atomic.Int64 // Unix nanoseconds of the last quorum confirmation
	poke  chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

const (
	syncWait    = time.Second // also the interval of lease renewal
	syncTimeout = syncWait + 2*time.Second
	pauseMin    = 50 * time.Millisecond
	pauseMax    = time.Second
	staleStamp  = 3 * time.Second // a control process with an older stamp is passed over
)

var versionVar = expvar.NewInt("config_version")

// New returns the service; Start begins to synchronize.
func New(p Params) *Service {
	m := p.Settings.Member()
	m.Incarnation = uint64(time.Now().UnixNano())
	return &Service{log: p.Log, ring: p.Ring, member: m, poke: make(chan struct{}, 1), done: make(chan struct{}),
		control: peer.NewControl(p.Settings.Peers.Control, p.Dial)}
}

// Control returns the client of the control processes.
func (s *Service) Control() *peer.Control { return s.control }

// View returns the current view, or nil before the first one.
func (s *Service) View() *View { return s.view.Load() }

// StampAge returns how long ago a quorum confirmed what this process holds.
func (s *Service) StampAge() time.Duration {
	at := s.stamp.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(time.Unix(0, at))
}

// Self returns this process's member record.
func (s *Service) Self() wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

// SetLeaving announces that this process takes no new work, or takes it again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	changed := s.member.Leaving != leaving
	s.member.Leaving = leaving
	s.mu.Unlock()
	if changed {
		s.Poke()
	}
}

// SetHolds announces what the upstream beside this process holds.
func (s *Service) SetHolds(holds string) {
	s.mu.Lock()
	changed := s.member.Holds != holds
	s.member.Holds = holds
	s.mu.Unlock()
	if changed {
		s.Poke()
	}
}

// Poke makes the next synchronization happen at once.
func (s *Service) Poke() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Saw tells that another process holds the given version.
func (s *Service) Saw(version uint64) {
	if v := s.View(); v != nil && version > v.Version {
		s.Poke()
	}
}

// OnChange registers f, which is called with every new view, one at a time.
// It must be called before Start.
func (s *Service) OnChange(f func(*View)) { s.listen = append(s.listen, f) }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. It tells the control processes that this
// one is gone.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	<-s.done
	s.SetLeaving(true)
	ctx, cancel := context.WithTimeout(ctx, syncWait)
	defer cancel()
	var reply wire.SyncReply
	s.control.Current().Call(ctx, MethodSync, s.request(0), &reply) // best effort: the lease ends anyway
	s.control.Close()
	return nil
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	pause := pauseMin
	for ctx.Err() == nil {
		err := s.syncOnce(ctx)
		if err == nil {
			pause = pauseMin
			continue
		}
		s.log.V(1).Info("control process passed over", "address", s.control.Current().Address(), "error", err.Error())
		s.control.Next()
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, pauseMax)
	}
}

func (s *Service) request(wait time.Duration) wire.SyncRequest {
	req := wire.SyncRequest{Member: s.Self(), Wait: wait}
	if v := s.View(); v != nil {
		req.ConfigVersion, req.MembersSeq = v.Version, v.Seq
	}
	return req
}

var errStale = errors.New("configsync: the control process has no fresh confirmation by a quorum")

func (s *Service) syncOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	go s.cutShort(ctx, cancel)
	asked := time.Now()
	var reply wire.SyncReply
	err := s.control.Current().Call(ctx, MethodSync, s.request(syncWait), &reply)
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil // cut short by Poke or Stop
		}
		return err
	}
	if reply.StampAge < 0 || reply.StampAge > staleStamp {
		return errStale
	}
	if err := s.take(&reply); err != nil {
		return err
	}
	// The answer was held back, but its stamp's age was taken at the end; the
	// time of the call is the safe bound for the start of the age.
	s.setStamp(asked.Add(-reply.StampAge))
	if !reply.Renewed {
		return errors.New("configsync: the lease could not be renewed there")
	}
	return nil
}

// cutShort ends a held-back call when somebody asks for news at once.
func (s *Service) cutShort(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-s.poke:
		cancel()
	}
}

func (s *Service) setStamp(at time.Time) {
	if n := at.UnixNano(); n > s.stamp.Load() {
		s.stamp.Store(n)
	}
}

func (s *Service) take(reply *wire.SyncReply) error {
	old := s.View()
	next := View{Config: &optext.Config{}, Members: map[wire.MemberID]wire.Member{}}
	if old != nil {
		next = *old
	}
	if err := next.takeConfig(reply.Config); err != nil {
		return err
	}
	if err := next.takeMembers(reply.Members); err != nil {
		return err
	}
	if old != nil && next.Version == old.Version && next.Seq == old.Seq {
		return nil
	}
	if old == nil || next.Version != old.Version {
		versionVar.Set(int64(next.Version))
		s.log.Info("configuration in force", "version", next.Version)
		s.ring.Record(timeline.Event{Kind: "config-in-force", Detail: versionString(next.Version)})
	}
	s.view.Store(&next)
	for _, f := range s.listen {
		f(&next)
	}
	return nil
}

func (v *View) takeConfig(c *wire.ConfigText) error {
	if c == nil || c.Version <= v.Version {
		return nil
	}
	parsed, err := optext.Parse("configuration", []byte(c.Text))
	if err != nil {
		return errors.Annotatef(err, "version %d", c.Version)
	}
	v.Config, v.Version, v.Text = parsed, c.Version, c.Text
	return nil
}

func (v *View) takeMembers(d *wire.MembersDelta) error {
	if d == nil || d.To <= v.Seq {
		return nil
	}
	if !d.Whole && d.From != v.Seq {
		return errors.Errorf("configsync: member delta from %d does not follow %d", d.From, v.Seq)
	}
	members := make(map[wire.MemberID]wire.Member, len(v.Members)+len(d.Changed))
	if !d.Whole {
		for id, m := range v.Members {
			members[id] = m
		}
	}
	for _, m := range d.Changed {
		members[m.ID] = m
	}
	for _, id := range d.Removed {
		delete(members, id)
	}
	v.Members, v.Seq = members, d.To
	v.index()
	return nil
}

func (v *View) index() {
	v.ByService = map[string][]wire.Member{}
	for _, m := range v.Members {
		if m.Service != "" && !m.Leaving {
			v.ByService[m.Service] = append(v.ByService[m.Service], m)
		}
	}
	for _, list := range v.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}
