package control

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/go-logr/logr"

	"caperdrum.org/node/consensus"
)

// slowReplica reads only the first bytes of calls with entries, like a replica behind a loaded link.
type slowReplica struct {
	heartbeat chan struct{} // closed when a heartbeat has been read completely
	gaveUp    chan struct{} // closed when the sender closes a connection with entries
}

const entryBytesRead = 64 << 10

func (r *slowReplica) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &watchedConn{Conn: near, closed: sync.OnceFunc(func() { close(r.gaveUp) })}
	go r.serve(c, far)
	return c, nil
}

func (r *slowReplica) serve(c *watchedConn, far net.Conn) {
	var call struct {
		Params MessageBatch `json:"params"`
	}
	if json.NewDecoder(&limitedReader{far, entryBytesRead, c}).Decode(&call) != nil {
		return
	}
	for _, m := range call.Params.Messages {
		if m.Kind == consensus.MsgHeartbeat {
			close(r.heartbeat)
		}
	}
}

// watchedConn reports when the sender closes a connection that carries entries.
type watchedConn struct {
	net.Conn
	mu     sync.Mutex
	full   bool
	closed func()
}

func (c *watchedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		c.closed()
	}
	return c.Conn.Close()
}

// limitedReader blocks after left bytes.
type limitedReader struct {
	net.Conn
	left int
	c    *watchedConn
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.c.mu.Lock()
		l.c.full = true
		l.c.mu.Unlock()
		select {}
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// TestHeartbeatsPassLargeEntries sends a large entry, and then a heartbeat, over a loaded link. The heartbeat
// must arrive while the entry is still being sent. Otherwise it could arrive too late, and the replica would
// start an election.
func TestHeartbeatsPassLargeEntries(t *testing.T) {
	r := &slowReplica{heartbeat: make(chan struct{}), gaveUp: make(chan struct{})}
	l := newTransport(r.dial, logr.Discard())
	defer l.close()
	to := consensus.Peer{ID: "a", Address: "127.0.0.1:1"}
	l.Send([]consensus.Peer{to}, []consensus.Message{{To: to.ID, Kind: consensus.MsgAppend, Entries: []consensus.Entry{{Index: 1, Term: 1, Data: make([]byte, maxBatchBytes)}}}})
	l.Send([]consensus.Peer{to}, []consensus.Message{{To: to.ID, Kind: consensus.MsgHeartbeat}})
	select {
	case <-r.heartbeat:
	case <-r.gaveUp:
		t.Fatal("the heartbeat was delayed until the entry timed out")
	}
}
