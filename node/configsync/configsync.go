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
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/internal/boottime"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

// MethodSync is the control role's method that this package calls.
const MethodSync = "control.sync"

// Params are what the service needs.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
	// Directory is where control processes are looked for; without one it is
	// what the settings say.
	Directory *peer.Directory `optional:"true"`
}

// Service holds the current view.
type Service struct {
	held    *Holder
	log     logr.Logger
	ring    *timeline.Ring
	clock   clockwork.Clock
	control *peer.Control // for calls to the leader
	dial    peer.Dialer

	directory  *peer.Directory
	generation uint64   // of the directory, as sources were made
	lists      int      // of addresses that sources were made of so far
	sources    []source // for synchronization, which any control process answers
	current    int

	unanswered map[string]time.Time      // by address of a source that did not answer last time: when
	silent     atomic.Pointer[time.Time] // since when no control process that reaches the leader has answered; nil while one does

	listen []func(*View)
	onHint []func()
	taken  atomic.Bool // every listener has seen a view
	late   bool        // it was logged that no quorum has confirmed the view lately; of run's goroutine
	poke   chan struct{}
	doubts chan string   // addresses of processes that do not answer
	saw    atomic.Uint64 // highest version heard of from others

	cancel context.CancelFunc
	done   chan struct{}
}

// source is one control process, as synchronization sees it.
type source interface {
	Call(ctx context.Context, method string, params, result any) error
	Address() string
	// Received returns how many bytes have come from it so far.
	Received() uint64
	Close()
}

var versionVar = expvar.NewInt("config_version")

// shown is the service whose figures the metric "configuration" shows; see package control.
var shown atomic.Pointer[Service]

func init() {
	expvar.Publish("configuration", expvar.Func(func() any {
		s := shown.Load()
		if s == nil {
			return struct{}{}
		}
		out := map[string]any{"stamp_age_ms": s.StampAge().Milliseconds()}
		if v := s.View(); v != nil {
			out["version"], out["bytes"], out["members_seq"], out["members"], out["owner_epoch"] = v.Version, len(v.Text), v.Seq, v.Members.Len(), v.Owner.Epoch
			out["evacuated"] = v.Evacuations.Evacuated()
		}
		return out
	}))
}

// New returns the service; Start begins to synchronize.
func New(p Params) *Service {
	m := p.Settings.Member()
	m.Incarnation = uint64(time.Now().UnixNano())
	if p.Directory == nil {
		p.Directory = peer.NewDirectory(p.Settings.Peers.Control)
	}
	s := &Service{held: NewHolder(m), log: p.Log, ring: p.Ring, clock: boottime.System(), poke: make(chan struct{}, 1), doubts: make(chan string, 1), done: make(chan struct{}),
		control: peer.NewDirectoryControl(p.Directory, p.Dial), dial: p.Dial, directory: p.Directory, unanswered: map[string]time.Time{}}
	s.follow()
	return s
}

// follow takes over the directory's addresses and keeps open what is in use.
func (s *Service) follow() {
	addresses, generation := s.directory.Addresses()
	if generation == s.generation {
		return
	}
	s.generation = generation
	old := map[string]source{}
	for _, src := range s.sources {
		old[src.Address()] = src
	}
	var current string
	if s.current < len(s.sources) {
		current = s.sources[s.current].Address()
	}
	s.sources, s.current = nil, 0
	for i, address := range addresses {
		src := old[address]
		if src == nil {
			src = peer.NewClient(address, s.dial)
		}
		delete(old, address)
		s.sources = append(s.sources, src)
		if address == current {
			s.current = i
		}
	}
	for address, src := range old {
		src.Close()
		delete(s.unanswered, address)
	}
	s.lists++
	if s.View() == nil && s.lists <= spreadLists {
		s.current = s.first(addresses)
	}
}

// spreadLists is how many lists of control processes a process that holds nothing begins anew with: that of its
// settings, and the first that it hears of. From then on it goes through all addresses in turn: lists of control
// processes that no quorum confirms may differ, and it would go back and forth between two.
const spreadLists = 2

// first picks the control process that a process which holds nothing begins with: the one that it is itself,
// which has all that it needs at hand, or one of all by its hash. After a start of all, the seeds alone would send
// all processes their first views.
func (s *Service) first(addresses []string) int {
	self := s.Self()
	if i := slices.Index(addresses, self.Peer); i >= 0 && strings.Contains(self.Role, string(settings.Control)) {
		return i
	}
	return spread(self.ID, len(addresses))
}

// spread picks the control process to begin with, so that not all members
// begin with the same.
func spread(id wire.MemberID, n int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(n))
}

// Control returns the client of the control processes.
func (s *Service) Control() *peer.Control { return s.control }

// View returns the current view, or nil before the first one.
func (s *Service) View() *View { return s.held.View() }

// StampAge returns how long ago a quorum confirmed what this process holds.
func (s *Service) StampAge() time.Duration { return s.held.StampAge(s.clock.Now()) }

// Steady returns for how long a quorum has confirmed what this process holds without a gap above
// LongestGap; zero while there is one.
func (s *Service) Steady() time.Duration { return s.held.Steady(s.clock.Now()) }

// Silent returns for how long no control process that reaches the leader has answered this process; zero while one does.
func (s *Service) Silent() time.Duration {
	since := s.silent.Load()
	if since == nil {
		return 0
	}
	return s.clock.Since(*since)
}

// Self returns this process's member record.
func (s *Service) Self() wire.Member { return s.held.Self() }

// SetLeaving announces that this process takes no new work, or takes it again.
func (s *Service) SetLeaving(leaving bool) {
	if s.held.SetLeaving(leaving) {
		s.Poke()
	}
}

// SetHolds announces what the upstream beside this process holds.
func (s *Service) SetHolds(holds string) {
	if s.held.SetHolds(holds) {
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

// Suspect tells that the process at a peer address does not answer. A synchronization that
// is held back on the same VM is made elsewhere at once: what happens because of that loss
// would be heard of a second later.
func (s *Service) Suspect(address string) {
	select {
	case s.doubts <- address:
	default:
	}
}

// sameVM reports whether two addresses are of one VM.
func sameVM(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// Saw tells that another process holds the given version. Each version pokes
// once, however much traffic carries it.
func (s *Service) Saw(version uint64) {
	v := s.View()
	if v == nil || version <= v.Version {
		return
	}
	for {
		old := s.saw.Load()
		if version <= old {
			return
		}
		if s.saw.CompareAndSwap(old, version) {
			s.Poke()
			return
		}
	}
}

// OnChange registers f, which is called with every new view, one at a time.
// It must be called before Start.
func (s *Service) OnChange(f func(*View)) { s.listen = append(s.listen, f) }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	shown.Store(s)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. It tells the control processes that this
// one is gone, and returns when they have recorded it or farewellTime is over.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	<-s.done
	s.SetLeaving(true)
	s.farewell(ctx)
	s.control.Close()
	for _, src := range s.sources {
		src.Close()
	}
	return nil
}

func (s *Service) publish(v *View, before *View, how arrival) {
	old, evacuations, suspects := uint64(0), uint64(0), uint64(0)
	if before != nil {
		old, evacuations, suspects = before.Version, before.Evacuations.Revision, before.Suspects.Revision
	}
	if v.Version != old {
		versionVar.Set(int64(v.Version))
		s.log.Info("configuration in force", "version", v.Version, "before", old, "bytes", len(v.Text), "whole", how.whole, "arrived", how.arrived, "parsed", how.parsed, "stamp_age", logging.Age(s.StampAge()))
		s.ring.Record(timeline.Event{Kind: "config-in-force", Detail: "version " + strconv.FormatUint(v.Version, 10)})
	}
	if v.Evacuations.Revision != evacuations {
		s.log.Info("evacuations in force", "revision", v.Evacuations.Revision, "data_centers", v.Evacuations.Evacuated(), "stamp_age", logging.Age(s.StampAge()))
		s.ring.Record(timeline.Event{Kind: "evacuations-in-force", Detail: strings.Join(v.Evacuations.Evacuated(), " ")})
	}
	if v.Suspects.Revision != suspects {
		s.log.Info("suspects known", "revision", v.Suspects.Revision, "calls", len(v.Suspects.List), "barred", v.Suspects.Barred(), "stamp_age", logging.Age(s.StampAge()))
	}
	for _, f := range s.listen {
		f(v)
	}
	s.taken.Store(true)
}

// TakenOver reports whether every service of this process has seen a view. A
// moment before, View returns one that, say, routing does not know yet.
func (s *Service) TakenOver() bool { return s.taken.Load() }
