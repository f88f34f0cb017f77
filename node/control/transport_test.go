package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/node/consensus"
)

// TestQueueOfASilentReplicaIsBounded sends log entries repeatedly to an unreachable replica, as a leader
// does. Its queue must not grow with the duration of the outage.
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
	<-dialed // the first message has been taken from the queue
	for range 100 {
		l.Send([]consensus.Peer{to}, []consensus.Message{first, {To: to.ID, Kind: consensus.MsgHeartbeat}})
	}
	l.mu.Lock()
	q := l.queues[queueKeyFor(first)]
	l.mu.Unlock()
	if got := q.bytes.Load(); got > maxQueuedBytes {
		t.Fatalf("%d bytes are queued, want at most %d", got, maxQueuedBytes)
	}
	if batch := q.nextBatch(<-q.messages); payloadBytes(batch) > maxBatchBytes+len(entries[0].Data) {
		t.Fatalf("%d bytes in one call", payloadBytes(batch))
	}
}

// TestOneLargeMessageIsSent queues a snapshot above the limit of a queue: it must be sent, alone.
func TestOneLargeMessageIsSent(t *testing.T) {
	q := newQueue()
	large := consensus.Message{Kind: consensus.MsgSnapshot, Snapshot: &consensus.Snapshot{Data: make([]byte, 2*maxQueuedBytes)}}
	if !q.put(large) || q.put(large) {
		t.Fatal("an empty queue must accept a message of any size, a full one none")
	}
	if batch := q.nextBatch(<-q.messages); len(batch) != 1 || q.bytes.Load() != 0 {
		t.Fatalf("%d messages taken, %d bytes remain", len(batch), q.bytes.Load())
	}
}

// TestAckDue checks when an answer is required: always before the first one, and then once
// per ackInterval.
func TestAckDue(t *testing.T) {
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
