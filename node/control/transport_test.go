package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/node/consensus"
)

// TestQueueOfASilentReplicaIsBounded sends the entries of a log again and again to
// a replica that cannot be reached, as a leader does through a cut: what waits for
// it must not grow with the length of the cut.
func TestQueueOfASilentReplicaIsBounded(t *testing.T) {
	dialed, ended := make(chan struct{}, 1), make(chan struct{})
	l := newTransport(func(context.Context, string) (net.Conn, error) {
		select {
		case dialed <- struct{}{}:
		default:
		}
		<-ended
		return nil, net.ErrClosed
	}, logr.Discard())
	defer l.close()
	defer close(ended)
	to := consensus.Peer{ID: "a", Address: "127.0.0.1:1"}
	entries := []consensus.Entry{{Data: make([]byte, maxQueuedBytes/4)}}
	first := consensus.Message{To: to.ID, Kind: consensus.MsgAppend, Entries: entries}
	l.Send([]consensus.Peer{to}, []consensus.Message{first})
	<-dialed // the first message is out of the queue and on its way
	for range 100 {
		l.Send([]consensus.Peer{to}, []consensus.Message{first, {To: to.ID, Kind: consensus.MsgHeartbeat}})
	}
	l.mu.Lock()
	q := l.queues[queueKeyFor(first)]
	l.mu.Unlock()
	if got := q.bytes.Load(); got > maxQueuedBytes {
		t.Fatalf("%d bytes wait, at most %d should", got, maxQueuedBytes)
	}
	if batch := q.nextBatch(<-q.messages); payloadBytes(batch) > maxBatchBytes+len(entries[0].Data) {
		t.Fatalf("%d bytes in one call", payloadBytes(batch))
	}
}

// TestOneLargeMessageIsSent queues a snapshot above the limit of a queue: it must
// still get its turn, alone.
func TestOneLargeMessageIsSent(t *testing.T) {
	q := newQueue()
	large := consensus.Message{Kind: consensus.MsgSnapshot, Snapshot: &consensus.Snapshot{Data: make([]byte, 2*maxQueuedBytes)}}
	if !q.put(large) || q.put(large) {
		t.Fatal("an empty queue takes one message of any size, a full one none")
	}
	if batch := q.nextBatch(<-q.messages); len(batch) != 1 || q.bytes.Load() != 0 {
		t.Fatalf("%d messages taken, %d bytes left", len(batch), q.bytes.Load())
	}
}

// TestNewLinkAsksForAnAnswer lists when a link asks the other end to answer: at once while
// that never has, and then once in confirmInterval.
func TestNewLinkAsksForAnAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		confirmed time.Time
		due       bool
	}{{time.Time{}, true}, {now, false}, {now.Add(-ackInterval), true}} {
		if ackDue(c.confirmed, now) != c.due {
			t.Errorf("last answer %s: due %v", c.confirmed, !c.due)
		}
	}
}
