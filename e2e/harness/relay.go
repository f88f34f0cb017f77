package harness

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Fault is a fault of the link between two processes.
type Fault int

// Faults of one direction of a link.
const (
	Pass Fault = iota
	Drop       // bytes are silently dropped; the connection is closed when the fault ends
	Hold       // bytes are held back until the fault ends
)

type direction struct{ from, to string }

// Any matches every process.
const Any = "*"

// Network is the set of TCP relays between the processes of a system. A relay finds out which process opened
// a connection, so that faults can be set by the names of both ends.
type Network struct {
	t  testing.TB
	mu sync.Mutex

	processes map[string]*Process
	targets   map[string]string // target addresses of the relays, by process
	faults    map[direction]Fault
	delay     time.Duration
	changed   chan struct{}
	links     map[*link]struct{}
	wg        sync.WaitGroup
}

type link struct {
	network  *Network
	from, to string // the process that opened it, and the one behind the relay
	ends     [2]net.Conn
	lossy    bool // bytes were dropped
	silent   bool // carries nothing more, for good, not even its end
}

// NewNetwork returns a network without relays. The end of the test waits for its goroutines.
func NewNetwork(t testing.TB) *Network {
	n := &Network{t: t, processes: map[string]*Process{}, targets: map[string]string{}, faults: map[direction]Fault{}, changed: make(chan struct{}), links: map[*link]struct{}{}}
	t.Cleanup(n.wg.Wait)
	return n
}

// Add registers a process, so that the connections it opens are recognized.
func (n *Network) Add(p *Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[p.Name] = p
}

// Set sets the fault of the bytes sent from one process to another.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[direction{from, to}] = f
	n.notifyChange()
}

// Isolate sets the fault of all bytes from and to a process.
func (n *Network) Isolate(name string, f Fault) {
	n.Set(name, Any, f)
	n.Set(Any, name, f)
}

// Delay sets the delay of every chunk of bytes.
func (n *Network) Delay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Heal ends all faults and closes the connections that dropped bytes.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.notifyChange()
	for l := range n.links {
		if l.lossy && !l.silent {
			l.close()
		}
	}
}

// Silence makes all open connections from one process to another silent for good: they stay open and carry nothing more,
// while new ones work. Those of a process to itself are left alone. It returns their number.
func (n *Network) Silence(from, to string) (silenced int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.from != l.to && !l.silent && (from == Any || l.from == from) && (to == Any || l.to == to) {
			l.silent = true
			silenced++
		}
	}
	return silenced
}

// CloseConnections closes all connections between two processes.
func (n *Network) CloseConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if (from == Any || l.from == from) && (to == Any || l.to == to) {
			l.close()
		}
	}
}

// notifyChange wakes up the links that wait for a change. The caller holds n.mu.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// fault returns the fault of a direction and the delay. The caller holds n.mu.
func (n *Network) fault(from, to string) (Fault, time.Duration, chan struct{}) {
	for _, d := range []direction{{from, to}, {from, Any}, {Any, to}} {
		if f := n.faults[d]; f != Pass {
			return f, n.delay, n.changed
		}
	}
	return Pass, n.delay, n.changed
}

// Target returns the address to which the relay of a process forwards.
func (n *Network) Target(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targets[name]
}

// Relay listens on address and forwards connections to target, the address of the named process.
func (n *Network) Relay(name, address, target string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() {
		l.Close()
		n.CloseConnections(Any, name)
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
	from := n.Opener(c)
	s, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		// Reset the connection at once, so that the caller sees a failed connection attempt rather than a
		// connection that broke later.
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
	defer func() {
		if !l.isSilent() {
			l.close()
		}
	}()
	buf := make([]byte, chunk)
	for {
		k, err := src.Read(buf)
		if k > 0 && !l.forward(dst, buf[:k], from, to) {
			return
		}
		if err != nil {
			l.awaitHeal(from, to)
			return
		}
	}
}

func (l *link) isSilent() bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.silent
}

// forward applies the current fault to one chunk. It returns false if the link must be closed.
func (l *link) forward(dst net.Conn, p []byte, from, to string) bool {
	for {
		f, delay, changed := l.currentFault(from, to)
		if l.isSilent() {
			return true
		}
		switch f {
		case Drop:
			return true
		case Hold:
			select {
			case <-changed:
			case <-time.After(waitTimeout):
				return false
			}
		default:
			time.Sleep(delay)
			_, err := dst.Write(p)
			return err == nil
		}
	}
}

// currentFault returns the fault of a direction and its delay. A link that dropped bytes is closed as soon as its fault ends.
func (l *link) currentFault(from, to string) (Fault, time.Duration, chan struct{}) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	f, delay, changed := n.fault(from, to)
	if f == Drop {
		l.lossy = true
	}
	if l.lossy && f == Pass && !l.silent {
		l.close()
	}
	return f, delay, changed
}

// awaitHeal delays the end of a connection until its fault ends: while a link is cut, the other side must not
// see that the connection was closed.
func (l *link) awaitHeal(from, to string) {
	for {
		f, _, changed := l.currentFault(from, to)
		if f == Pass {
			return
		}
		select {
		case <-changed:
		case <-time.After(waitTimeout):
			return
		}
	}
}
