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

// DemandParams are what the Demand needs.
type DemandParams struct {
	dig.In
	Settings *settings.Settings
	Dial     peer.Dialer
	Sync     *configsync.Service `name:"configsync"`
	Routing  *routing.Service    `name:"routing"`
}

// Demand tells the control leader of requests that found no upstream, so that
// parked ones are woken. While there are none it does nothing.
type Demand struct {
	self    wire.MemberID
	sync    *configsync.Service
	control *peer.LeaderClient
	cancel  context.CancelFunc
	kick    chan struct{}

	mu     sync.Mutex
	misses map[string]int64
}

const (
	demandPause   = 100 * time.Millisecond // gathers the misses of a burst
	demandTimeout = 3 * time.Second
)

// NewDemand returns the service.
func NewDemand(p DemandParams) *Demand {
	d := &Demand{self: wire.MemberID(p.Settings.Node.Name), sync: p.Sync, kick: make(chan struct{}, 1),
		control: peer.NewLeaderClient(p.Settings.Peers.Control, p.Dial), misses: map[string]int64{}}
	p.Routing.OnEmpty(d.miss)
	return d
}

// miss counts one request. Only services with models can be woken.
func (d *Demand) miss(service string) {
	v := d.sync.View()
	if v == nil || v.Config.Services[service] == nil || len(v.Config.Services[service].Models) == 0 {
		return
	}
	d.mu.Lock()
	d.misses[service]++
	d.mu.Unlock()
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// Start implements kernel.Starter.
func (d *Demand) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (d *Demand) Stop(context.Context) error {
	d.cancel()
	d.control.Close()
	return nil
}

func (d *Demand) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.kick:
		}
		d.send(ctx)
		time.Sleep(demandPause)
	}
}

// send reports once. A lost report is not repeated: callers come back, and a
// count sent twice would wake too much.
func (d *Demand) send(ctx context.Context) {
	d.mu.Lock()
	report := wire.DemandReport{Entry: d.self, Misses: d.misses}
	d.misses = map[string]int64{}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var reply struct{}
	d.control.CallLeader(ctx, wire.MethodDemand, &report, &reply)
}
