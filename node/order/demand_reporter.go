package order

import (
	"context"
	"sync"
	"time"

	"go.uber.org/dig"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/settings"
)

// DemandReporterParams are the dependencies of DemandReporter.
type DemandReporterParams struct {
	dig.In
	Settings *settings.Settings
	Dial     peer.Dialer
	Sync     *configsync.Service `name:"configsync"`
	Routing  *routing.Service    `name:"routing"`
}

// DemandReporter reports requests that found no upstream to the control leader, so that it wakes parked upstreams. It
// sends nothing while there are none.
type DemandReporter struct {
	self    wire.MemberID
	sync    *configsync.Service
	control *peer.LeaderClient
	cancel  context.CancelFunc
	wakeup  chan struct{}

	mu     sync.Mutex
	misses map[string]int64
}

const (
	demandBatchDelay = 100 * time.Millisecond // collects the misses of a burst in one report
	demandTimeout    = 3 * time.Second
)

// NewDemandReporter returns the service, which counts the misses of the routing service.
func NewDemandReporter(p DemandReporterParams) *DemandReporter {
	d := &DemandReporter{self: wire.MemberID(p.Settings.Node.Name), sync: p.Sync, wakeup: make(chan struct{}, 1),
		control: peer.NewLeaderClient(p.Settings.Peers.Control, p.Dial), misses: map[string]int64{}}
	p.Routing.OnEmpty(d.recordMiss)
	return d
}

// recordMiss counts one request. Only services with models can be woken.
func (d *DemandReporter) recordMiss(service string) {
	v := d.sync.View()
	if v == nil || v.Config.Services[service] == nil || len(v.Config.Services[service].Models) == 0 {
		return
	}
	d.mu.Lock()
	d.misses[service]++
	d.mu.Unlock()
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// Start implements kernel.Starter.
func (d *DemandReporter) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (d *DemandReporter) Stop(context.Context) error {
	d.cancel()
	d.control.Close()
	return nil
}

func (d *DemandReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wakeup:
		}
		d.send(ctx)
		time.Sleep(demandBatchDelay)
	}
}

// send sends the pending counts once. A lost report is not repeated: callers retry, and counting a miss twice
// would wake too many upstreams.
func (d *DemandReporter) send(ctx context.Context) {
	d.mu.Lock()
	report := wire.DemandReport{Entry: d.self, Misses: d.misses}
	d.misses = map[string]int64{}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var reply struct{}
	d.control.CallLeader(ctx, wire.MethodDemand, &report, &reply)
}
