package harness

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// crowdDialers is how many clients of a crowd connect at the same time, so that the queue of new connections does not
// overflow.
const crowdDialers = 32

// Crowd is a number of clients that ignore the limits of a listener.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// StartCrowd connects n clients to an address and returns once each of them has done what act does on its connection.
// The connections stay open until Leave. A client whose connection is refused or closed does no more.
func StartCrowd(t testing.TB, address string, n int, act func(c net.Conn)) *Crowd {
	t.Helper()
	crowd, free := &Crowd{}, make(chan struct{}, crowdDialers)
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			free <- struct{}{}
			c, err := net.DialTimeout("tcp", address, dialTimeout)
			<-free
			if err != nil {
				return
			}
			crowd.mu.Lock()
			crowd.conns = append(crowd.conns, c)
			crowd.mu.Unlock()
			act(c)
		})
	}
	wg.Wait()
	return crowd
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

const (
	dialTimeout = 5 * time.Second
	// stallTimeout ends a write that the other side does not read.
	stallTimeout = 2 * time.Second
)

// Send returns what a client does that sends data and then waits.
func Send(data []byte) func(net.Conn) {
	return func(c net.Conn) {
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
		c.Write(data)
	}
}

// SendEndlessly returns what a client does that sends first, and then part over and over until the connection is closed, the
// other side stops reading, or limit bytes are sent.
func SendEndlessly(first, part []byte, limit int) func(net.Conn) {
	return func(c net.Conn) {
		for data, sent := first, 0; sent < limit; data = part {
			c.SetWriteDeadline(time.Now().Add(stallTimeout))
			n, err := c.Write(data)
			if err != nil {
				return
			}
			sent += n
		}
	}
}

// ShortFields returns at least size bytes of header fields that have a name of their own and no value, which take far more
// memory once they are parsed than on the wire.
func ShortFields(size int) []byte {
	var out []byte
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "%x:\r\n", i)
	}
	return out
}
