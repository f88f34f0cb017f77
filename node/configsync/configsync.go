// Package configsync keeps an entry or an agent up to date: it renews the process's lease, fetches
// configuration and members from the control processes, and publishes both as immutable views.
//
// A view is never replaced by one with a lower version. The initial view is published only once a quorum has
// confirmed it.
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

// MethodSync is the control role's RPC method for synchronization.
const MethodSync = "control.sync"

// Params are the dependencies of Service.
type Params struct {
	dig.In
	Settings *settings.Settings
	Log      logr.Logger
	Ring     *timeline.Ring
	Dial     peer.Dialer
	// Directory provides the addresses of the control processes. If nil, New creates one from the settings.
	Directory *peer.Directory `optional:"true"`
}

// Service synchronizes the current view with the control processes.
type Service struct {
	holder  *Holder
	log     logr.Logger
	ring    *timeline.Ring
	clock   clockwork.Clock
	control *peer.LeaderClient // for calls to the leader
	dial    peer.Dialer

	directory           *peer.Directory
	directoryGeneration uint64   // of the directory when sources was built
	sourceLists         int      // how often sources was built
	sources             []source // for synchronization, which any control process serves
	current             int

	unanswered       map[string]time.Time      // time of the failed call, by address, if the last call there got no answer
	unreachableSince atomic.Pointer[time.Time] // since when no control process that reaches the leader has answered; nil while one does

	listeners        []func(*View)
	hintListeners    []func()
	applied          atomic.Bool // every listener has processed a view
	confirmationLate bool        // the lack of a recent confirmation was logged; accessed only by run's goroutine
	wake             chan struct{}
	unresponsive     chan string   // addresses of processes that do not answer
	highestSeen      atomic.Uint64 // highest version reported by other processes

	cancel context.CancelFunc
	done   chan struct{}
}

// source is a control process that serves synchronization.
type source interface {
	Poll(ctx context.Context, wait time.Duration, method string, params, result any) error
	Address() string
	// BytesReceived returns the number of bytes received from it so far.
	BytesReceived() uint64
	Close()
}

var versionVar = expvar.NewInt("config_version")

// metricsSource is the service that the expvar "configuration" reports on; see package control.
var metricsSource atomic.Pointer[Service]

func init() {
	expvar.Publish("configuration", expvar.Func(func() any {
		s := metricsSource.Load()
		if s == nil {
			return struct{}{}
		}
		out := map[string]any{"stamp_age_ms": s.StampAge().Milliseconds()}
		if v := s.View(); v != nil {
			out["version"], out["bytes"], out["members_seq"], out["members"], out["owner_epoch"] = v.Version, len(v.Text), v.MembersSeq, v.Members.Len(), v.Owner.Epoch
			out["evacuated"] = v.Evacuations.Evacuated()
		}
		return out
	}))
}

// New returns a service. Start begins the synchronization.
func New(p Params) *Service {
	m := p.Settings.Member()
	m.Incarnation = uint64(time.Now().UnixNano())
	if p.Directory == nil {
		p.Directory = peer.NewDirectory(p.Settings.Peers.Control)
	}
	s := &Service{holder: NewHolder(m), log: p.Log, ring: p.Ring, clock: boottime.System(), wake: make(chan struct{}, 1), unresponsive: make(chan string, 1), done: make(chan struct{}),
		control: peer.NewDirectoryLeaderClient(p.Directory, p.Dial), dial: p.Dial, directory: p.Directory, unanswered: map[string]time.Time{}}
	s.refreshSources()
	return s
}

// refreshSources adopts changes of the directory, and keeps the connections to addresses that remain.
func (s *Service) refreshSources() {
	addresses, generation := s.directory.Addresses()
	if generation == s.directoryGeneration {
		return
	}
	s.directoryGeneration = generation
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
	s.sourceLists++
	if s.View() == nil && s.sourceLists <= maxInitialLists {
		s.current = s.initialSource(addresses)
	}
}

// maxInitialLists is how many address lists a process without a view picks its initial source from by hash:
// that of the settings, and the first one it receives. After that it tries all addresses in turn. Lists from
// control processes without a confirmation may differ, and it could alternate between two sources for ever.
const maxInitialLists = 2

// initialSource picks the control process to start with while there is no view: this process itself if it is
// one, since that has the state locally, else one by hash. If all processes start at the same time, the seeds
// alone would otherwise have to send the initial views to all of them.
func (s *Service) initialSource(addresses []string) int {
	self := s.Self()
	if i := slices.Index(addresses, self.Peer); i >= 0 && strings.Contains(self.Role, string(settings.Control)) {
		return i
	}
	return hashIndex(self.ID, len(addresses))
}

// hashIndex picks one of n control processes by the member's ID, so that members are distributed over them.
func hashIndex(id wire.MemberID, n int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(n))
}

// LeaderClient returns the client for calls to the leader.
func (s *Service) LeaderClient() *peer.LeaderClient { return s.control }

// View returns the current view, or nil before the initial one.
func (s *Service) View() *View { return s.holder.View() }

// StampAge returns how long ago a quorum confirmed the current view.
func (s *Service) StampAge() time.Duration { return s.holder.StampAge(s.clock.Now()) }

// ConfirmedFor returns for how long quorums have confirmed the view without a gap above MaxConfirmationGap.
// It is zero during such a gap.
func (s *Service) ConfirmedFor() time.Duration { return s.holder.ConfirmedFor(s.clock.Now()) }

// ControlUnreachableFor returns for how long no control process that reaches the leader has answered. It is
// zero while one does.
func (s *Service) ControlUnreachableFor() time.Duration {
	since := s.unreachableSince.Load()
	if since == nil {
		return 0
	}
	return s.clock.Since(*since)
}

// Self returns this process's member record.
func (s *Service) Self() wire.Member { return s.holder.Self() }

// SetLeaving announces that this process accepts no new work, or accepts it again.
func (s *Service) SetLeaving(leaving bool) {
	if s.holder.SetLeaving(leaving) {
		s.SyncNow()
	}
}

// SetHolds announces what the local upstream holds.
func (s *Service) SetHolds(holds string) {
	if s.holder.SetHolds(holds) {
		s.SyncNow()
	}
}

// SyncNow triggers a synchronization without delay.
func (s *Service) SyncNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ReportUnresponsive reports that the process at a peer address does not answer. If a long poll is waiting at
// a control process on the same VM, it is ended and another control process is asked: otherwise, this process
// would learn of changes due to the loss of that VM a second late.
func (s *Service) ReportUnresponsive(address string) {
	select {
	case s.unresponsive <- address:
	default:
	}
}

// sameVM reports whether two addresses have the same host.
func sameVM(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// ObserveVersion reports that another process holds the given version. It triggers one synchronization per
// version, regardless of how much traffic carries it.
func (s *Service) ObserveVersion(version uint64) {
	v := s.View()
	if v == nil || version <= v.Version {
		return
	}
	for {
		old := s.highestSeen.Load()
		if version <= old {
			return
		}
		if s.highestSeen.CompareAndSwap(old, version) {
			s.SyncNow()
			return
		}
	}
}

// OnChange registers a listener that is called with every new view, one at a time. It must be called before
// Start.
func (s *Service) OnChange(f func(*View)) { s.listeners = append(s.listeners, f) }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	metricsSource.Store(s)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. It announces that this process is leaving, and returns when a control
// process has recorded it or after deregisterTimeout.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	<-s.done
	s.SetLeaving(true)
	s.deregister(ctx)
	s.control.Close()
	for _, src := range s.sources {
		src.Close()
	}
	return nil
}

func (s *Service) publish(v *View, before *View, timing updateTiming) {
	old, evacuations, suspects := uint64(0), uint64(0), uint64(0)
	if before != nil {
		old, evacuations, suspects = before.Version, before.Evacuations.Revision, before.Suspects.Revision
	}
	if v.Version != old {
		versionVar.Set(int64(v.Version))
		s.log.Info("configuration in force", "version", v.Version, "before", old, "bytes", len(v.Text), "whole", timing.whole, "arrived", timing.arrived, "parsed", timing.parsed, "stamp_age", logging.Age(s.StampAge()))
		s.ring.Record(timeline.Event{Kind: "config-in-force", Detail: "version " + strconv.FormatUint(v.Version, 10)})
	}
	if v.Evacuations.Revision != evacuations {
		s.log.Info("evacuations in force", "revision", v.Evacuations.Revision, "data_centers", v.Evacuations.Evacuated(), "stamp_age", logging.Age(s.StampAge()))
		s.ring.Record(timeline.Event{Kind: "evacuations-in-force", Detail: strings.Join(v.Evacuations.Evacuated(), " ")})
	}
	if v.Suspects.Revision != suspects {
		s.log.Info("suspected calls updated", "revision", v.Suspects.Revision, "calls", len(v.Suspects.List), "barred", v.Suspects.Barred(), "stamp_age", logging.Age(s.StampAge()))
	}
	for _, f := range s.listeners {
		f(v)
	}
	s.applied.Store(true)
}

// ViewApplied reports whether every listener has processed a view. Before that, View may already return one
// that other services of this process have not applied.
func (s *Service) ViewApplied() bool { return s.applied.Load() }
