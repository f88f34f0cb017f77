package harness

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Fault is what happens to the bytes between two processes.
type Fault int

// Faults of a direction.
const (
	Pass    Fault = iota
	Swallow       // bytes vanish silently; the connection breaks when the fault ends
	Hold          // bytes arrive, late, when the fault ends
)

type direction struct{ from, to string }

// Any stands for every process in a direction.
const Any = "*"

// Network is the set of relays between the processes of a system. A relay
// knows which process opened a connection, so that faults are set by the names
// of both ends.
type Network struct {
	t  testing.TB
	mu sync.Mutex

	processes map[string]*Process
	targets   map[string]string // of the relays, by the process behind them
	faults    map[direction]Fault
	delay     time.Duration
	changed   chan struct{}
	links     map[*link]struct{}
	wg        sync.WaitGroup
}

type link struct {
	network  *Network
	from, to string // who opened it, and whose relay it came through
	ends     [2]net.Conn
	lossy    bool // bytes are missing
}

// NewNetwork returns a network without relays, which ends with the test.
func NewNetwork(t testing.TB) *Network {
	n := &Network{t: t, processes: map[string]*Process{}, targets: map[string]string{}, faults: map[direction]Fault{}, changed: make(chan struct{}), links: map[*link]struct{}{}}
	t.Cleanup(n.wg.Wait)
	return n
}

// Add lets the network tell the connections that the process opens.
func (n *Network) Add(p *Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[p.Name] = p
}

// Set puts a fault on the bytes that go from one process to another.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[direction{from, to}] = f
	n.signal()
}

// Isolate puts a fault on all bytes from and to a process.
func (n *Network) Isolate(name string, f Fault) {
	n.Set(name, Any, f)
	n.Set(Any, name, f)
}

// Delay makes every chunk of bytes wait.
func (n *Network) Delay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Heal ends all faults and breaks the connections that lost bytes.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.signal()
	for l := range n.links {
		if l.lossy {
			l.close()
		}
	}
}

// CutConnections closes all connections between two processes.
func (n *Network) CutConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if (from == Any || l.from == from) && (to == Any || l.to == to) {
			l.close()
		}
	}
}

// signal is called with the lock held.
func (n *Network) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// fault is called with the lock held.
func (n *Network) fault(from, to string) (Fault, time.Duration, chan struct{}) {
	for _, d := range []direction{{from, to}, {from, Any}, {Any, to}} {
		if f := n.faults[d]; f != Pass {
			return f, n.delay, n.changed
		}
	}
	return Pass, n.delay, n.changed
}

// Target returns where the relay of a process passes connections on to.
func (n *Network) Target(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targets[name]
}

// Relay listens on address and passes connections on to target, which belongs
// to the named process.
func (n *Network) Relay(name, address, target string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() {
		l.Close()
		n.CutConnections(Any, name)
	})
	n.mu.Lock()
	n.targets[name] = target
	n.mu.Unlock()
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.serve(c, name, target) })
		}
	})
}

func (n *Network) serve(c net.Conn, name, target string) {
	defer c.Close()
	from := n.opener(c)
	s, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		// The caller must see a connection that was never made rather than a
		// broken one, so the relay resets it at once.
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer s.Close()
	k := &link{network: n, from: from, to: name, ends: [2]net.Conn{c, s}}
	n.mu.Lock()
	n.links[k] = struct{}{}
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.pump(c, s, from, name) })
	wg.Go(func() { k.pump(s, c, name, from) })
	wg.Wait()
	n.mu.Lock()
	delete(n.links, k)
	n.mu.Unlock()
}

func (l *link) close() {
	l.ends[0].Close()
	l.ends[1].Close()
}

const chunk = 64 << 10

func (l *link) pump(src, dst net.Conn, from, to string) {
	defer l.close()
	buf := make([]byte, chunk)
	for {
		k, err := src.Read(buf)
		if k > 0 && !l.forward(dst, buf[:k], from, to) {
			return
		}
		if err != nil {
			l.awaitEnd(from, to)
			return
		}
	}
}

// forward treats one chunk as the fault in force says; false ends the link.
func (l *link) forward(dst net.Conn, p []byte, from, to string) bool {
	for {
		f, delay, changed := l.judge(from, to)
		switch f {
		case Swallow:
			return true
		case Hold:
			select {
			case <-changed:
			case <-time.After(hungAfter):
				return false
			}
		default:
			time.Sleep(delay)
			_, err := dst.Write(p)
			return err == nil
		}
	}
}

// judge returns the fault in force. A direction that once lost bytes goes on
// losing them until the connection is broken.
func (l *link) judge(from, to string) (Fault, time.Duration, chan struct{}) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	f, delay, changed := n.fault(from, to)
	if f == Swallow {
		l.lossy = true
	}
	if l.lossy && f == Pass {
		l.close()
	}
	return f, delay, changed
}

// awaitEnd keeps the end of a connection from being seen while it is cut: a
// silent cut swallows that as well.
func (l *link) awaitEnd(from, to string) {
	for {
		f, _, changed := l.judge(from, to)
		if f == Pass {
			return
		}
		select {
		case <-changed:
		case <-time.After(hungAfter):
			return
		}
	}
}
