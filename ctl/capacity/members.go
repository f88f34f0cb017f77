package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/timeline"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
)

// members simulates agents in this process. They synchronize with the control processes over TCP.
type members struct {
	controlAddresses []string // peer addresses of the control processes
	bytes            atomic.Int64
	list             []*member
}

type member struct {
	*configsync.Service
	inForceSince sync.Map // time at which each configuration version came into force here
}

func (ms *members) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := peer.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: &ms.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// settingsOf returns the settings of member i, an agent in one of 18 data centres.
func (ms *members) settingsOf(i int) *settings.Settings {
	name := fmt.Sprintf("agent-llm-%05d", i)
	address := fmt.Sprintf("10.%d.%d.%d", i/65536, i/256%256, i%256)
	return &settings.Settings{
		Node:  settings.Node{Name: name, VM: "vm-" + name, DataCenter: fmt.Sprintf("data-centre-%02d", i%18), Roles: []string{"agent"}},
		Agent: settings.AgentRole{Service: "llm", Advertise: address + ":7200"},
		Debug: settings.Debug{Listen: address + ":7102"},
		Peers: settings.Peers{Control: ms.controlAddresses},
	}
}

func (ms *members) startMember(i int) *member {
	m := &member{Service: configsync.New(configsync.Params{Settings: ms.settingsOf(i), Log: logr.Discard(), Ring: timeline.NewRing("m", "v", 16), Dial: ms.dial})}
	m.OnChange(func(v *configsync.View) { m.inForceSince.LoadOrStore(v.Version, time.Now()) })
	m.Start(context.Background())
	return m
}

// start adds n members and waits until every member knows all of them.
func (ms *members) start(ctx context.Context, n int) error {
	for i := range n {
		ms.list = append(ms.list, ms.startMember(i))
	}
	return waitFor(ctx, "all members to know each other", func() bool { return ms.allMatch(func(v *configsync.View) bool { return len(v.Agents["llm"]) == n }) })
}

func (ms *members) allMatch(ok func(*configsync.View) bool) bool {
	for _, m := range ms.list {
		if v := m.View(); v == nil || !ok(v) {
			return false
		}
	}
	return true
}

// restart stops member i without deregistering it, starts it again and waits until every member knows the new
// incarnation.
func (ms *members) restart(ctx context.Context, i int) error {
	stopMember(ms.list[i])
	m := ms.startMember(i)
	ms.list[i] = m
	self := m.Self()
	return waitFor(ctx, "all members to know a restart", func() bool {
		return ms.allMatch(func(v *configsync.View) bool {
			m, known := v.Members.Get(self.ID)
			return known && m.Incarnation == self.Incarnation
		})
	})
}

func (ms *members) stop() {
	var wg sync.WaitGroup
	for _, m := range ms.list {
		wg.Go(func() { stopMember(m) })
	}
	wg.Wait()
	ms.list = nil
}

func stopMember(m *member) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Stop(ctx)
}

// heapInUse returns the memory in use after a collection, including stacks.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
