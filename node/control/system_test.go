package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/kernel"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/state"
)

// system is a cluster and its members, connected by TCP, in this process.
type system struct {
	tb        testing.TB
	addresses []string
	controls  []*Service
	members   []*member
	network   network
}

type member struct {
	*configsync.Service
	cancel context.CancelFunc // stops it without deregistering
	at     sync.Map           // time at which each version came into force in this member
}

// network counts bytes and partitions addresses: a partitioned connection discards written data and never
// answers.
type network struct {
	mu    sync.Mutex
	cut   map[string]bool
	bytes atomic.Int64
}

// from returns the dialer of the process at the given address.
func (n *network) from(own string) peer.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if n.isCut(own, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := peer.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, n: n, ends: [2]string{own, address}}, nil
	}
}

func (n *network) isCut(addresses ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if n.cut[a] {
			return true
		}
	}
	return false
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

type countingConn struct {
	net.Conn
	n    *network
	ends [2]string
}

func (c *countingConn) discardsData() bool { return c.n.isCut(c.ends[:]...) }

func (c *countingConn) Write(p []byte) (int, error) {
	if c.discardsData() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.n.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.discardsData() {
			c.n.bytes.Add(int64(n))
			return n, err
		}
	}
}

// listenAnywhere listens on a free port. The listener stays open, since another test could take the port in
// between.
func listenAnywhere(tb testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	return l
}

func startSystem(tb testing.TB, controls, members int) *system {
	s := &system{tb: tb, network: network{cut: map[string]bool{}}}
	var listeners []net.Listener
	for range controls {
		l := listenAnywhere(tb)
		listeners = append(listeners, l)
		s.addresses = append(s.addresses, l.Addr().String())
	}
	for i, address := range s.addresses {
		set := &settings.Settings{Node: settings.Node{Name: fmt.Sprint("control-", i), DataDir: tb.TempDir()},
			Peers: settings.Peers{Control: s.addresses}, Control: settings.ControlRole{Listen: address, Advertise: address, Lease: testLease, Voters: controls}}
		svc, err := New(Params{Settings: set, Kernel: kernel.New(logr.Discard()), Log: logr.Discard(),
			Ring: timeline.NewRing("c", "v", 16), Dial: s.network.from(address)})
		if err != nil {
			tb.Fatal(err)
		}
		svc.listen = func(string) (net.Listener, error) { return listeners[i], nil }
		if err := svc.Start(context.Background()); err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { svc.kill() })
		s.controls = append(s.controls, svc)
	}
	if err := s.controls[0].Init(context.Background()); err != nil {
		tb.Fatal(err)
	}
	s.wait("all control processes are voters", func() bool {
		l := s.leader()
		return l != nil && len(l.replica.Status().Membership.Voters) == controls && l.repair.Report() == ""
	})
	for i := range members {
		s.addMember(i)
	}
	s.wait("all members know each other", func() bool { return s.known(members) })
	return s
}

// kill stops the process without notifying others.
func (s *Service) kill() {
	s.cancel()
	s.server.Close()
	s.transport.close()
	<-s.stopped
}

func (s *system) addMember(i int) {
	set := &settings.Settings{Node: settings.Node{Name: fmt.Sprint("m", i), Roles: []string{"agent"}}, Agent: settings.AgentRole{Service: "s"},
		Peers: settings.Peers{Control: s.addresses}}
	m := &member{Service: configsync.New(configsync.Params{Settings: set, Log: logr.Discard(), Ring: timeline.NewRing("m", "v", 16), Dial: s.network.from(set.Node.Name)})}
	m.OnChange(func(v *configsync.View) { m.at.LoadOrStore(v.Version, time.Now()) })
	m.Start(context.Background())
	m.cancel = sync.OnceFunc(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		m.Stop(ctx)
	})
	s.tb.Cleanup(m.cancel)
	s.members = append(s.members, m)
}

func (s *system) known(n int) bool {
	for _, m := range s.members {
		if v := m.View(); v == nil || len(v.Agents["s"]) != n {
			return false
		}
	}
	return true
}

const waitLimit = 30 * time.Second

func (s *system) wait(what string, done func() bool) {
	s.tb.Helper()
	for end := time.Now().Add(waitLimit); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			s.tb.Fatalf("timed out after %s waiting for: %s", waitLimit, what)
		}
	}
}

func (s *system) leader() *Service {
	var best *Service
	for i, c := range s.controls {
		if c.replica.IsLeader() && !s.network.isCut(s.addresses[i]) && (best == nil || c.replica.Status().Term > best.replica.Status().Term) {
			best = c
		}
	}
	return best
}

func (s *system) cutLeader() {
	leader := s.leader()
	for i, c := range s.controls {
		if c == leader {
			s.network.setCut(s.addresses[i], true)
		}
	}
}

// apply changes the configuration at the current leader, and returns the version and when it was accepted.
func (s *system) apply(text string) (uint64, time.Time) {
	s.tb.Helper()
	var version uint64
	id := fmt.Sprint(time.Now().UnixNano())
	s.wait("a change is accepted", func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		number := l.replica.View().Config.Version + 1
		res, err := l.replica.Propose(ctx, state.Command{Change: &wire.ChangeRequest{Number: number, Text: text, ChangeID: fmt.Sprint(id, number)}})
		if err != nil || !res.Change.Accepted {
			return false
		}
		version = number
		return true
	})
	return version, time.Now()
}

// inForce waits until the version is in force in all members, and returns when it came into force in each.
func (s *system) inForce(version uint64) []time.Time {
	s.tb.Helper()
	var out []time.Time
	for _, m := range s.members {
		s.wait(fmt.Sprint("version ", version, " is in force"), func() bool {
			v := m.View()
			return v != nil && v.Version >= version
		})
		at, ok := m.at.Load(version)
		if !ok {
			at = time.Now() // it skipped this version
		}
		out = append(out, at.(time.Time))
	}
	return out
}

func customers(n, changed, share int) string {
	text := make([]byte, 0, 80*n)
	text = append(text, "[service:s]\nkind = plain\n"...)
	for i := range n {
		s := 1
		if i == changed {
			s = share
		}
		text = fmt.Appendf(text, "[customer:customer-with-a-name-%06d]\nshare = %d\nrate = 1000\n# kept for length\n", i, s)
	}
	return string(text)
}

// TestLeavingWhileControlIsLost partitions the leader, and lets a member that last used it leave at the same
// time.
func TestLeavingWhileControlIsLost(t *testing.T) {
	s := startSystem(t, 3, 6)
	version, _ := s.apply(customers(3, 0, 1))
	s.inForce(version)
	s.cutLeader()
	leaving := s.members[0]
	s.members = s.members[1:]
	leaving.SetLeaving(true)
	s.wait("the leaving member is no longer listed", func() bool { return s.known(5) })
	version, _ = s.apply(customers(3, 0, 2))
	s.inForce(version)
	for _, m := range s.members {
		if m.View().Members.Len() != 6 {
			t.Fatalf("a healthy member was removed: %v", m.View().Members)
		}
	}
}

// TestDeregistrationIsRecorded stops a member gracefully. The member list must contain its leaving record
// when Stop returns. The leader is read after a read barrier, since a follower may have applied the record,
// and answered, before the leader.
func TestDeregistrationIsRecorded(t *testing.T) {
	s := startSystem(t, 3, 3)
	leaving := s.members[0]
	s.members = s.members[1:]
	if err := leaving.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	leader := s.leader().replica
	if err := leader.ReadBarrier(context.Background()); err != nil {
		t.Fatal(err)
	}
	if m := leader.View().Members["m0"]; !m.Leaving {
		t.Fatalf("Stop returned, but the member list contains %+v", m)
	}
}
