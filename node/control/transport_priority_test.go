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

// slowReplica takes calls with entries as slowly as a loaded link: it reads their
// first bytes and no more.
type slowReplica struct {
	heartbeat chan struct{} // closed when one has come whole
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
		Params RaftBatch `json:"params"`
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

// watchedConn tells when a connection that holds entries is closed by its sender.
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

// limitedReader hangs once it has read left bytes.
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

// TestHeartbeatsPassLargeEntries sends a large entry to a replica behind a loaded
// link, and then a heartbeat: the heartbeat arrives while the entry is on its way.
// Behind it, it would come too late, and the replica would elect another leader.
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
		t.Fatal("the heartbeat waits until the entry has been given up")
	}
}
