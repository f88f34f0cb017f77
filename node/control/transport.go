package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/peer"
)

// transport sends consensus messages. Each replica has two queues, each with its own goroutine and connection,
// so that a stalled replica does not delay others, and entries do not delay heartbeats: sending 1 MB to each of
// six followers takes 0.5 s on a link of 100 Mbit/s, and a follower that receives nothing for 0.6 s starts an
// election.
type transport struct {
	dial peer.Dialer
	log  logr.Logger
	self consensus.Peer
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	queues    map[queueKey]*queue
	addresses map[consensus.NodeID]string // also of replicas that are not, or not yet, in the membership
}

// queueKey identifies one of the two queues of a replica. Messages may be reordered between the queues, which
// consensus tolerates; entries and snapshots stay in order.
type queueKey struct {
	to   consensus.NodeID
	bulk bool // entries and snapshots; false for all other messages
}

func queueKeyFor(m consensus.Message) queueKey {
	return queueKey{m.To, m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot}
}

const (
	queueLength = 1024
	// maxQueuedBytes limits the entries and snapshots that are queued for a replica. The leader repeats them
	// while the replica is unreachable; encoding a queue of 7.6 MB at once took 70 MB of heap. It is large
	// enough for two full append messages.
	maxQueuedBytes = 2 << 20
	// maxBatchBytes is the size from which no further message is added to a call: that of one full append
	// message.
	maxBatchBytes = 1 << 20
	sendTimeout   = time.Second
	// ackInterval is the time between two batches of heartbeats that are answered.
	ackInterval      = 500 * time.Millisecond
	queueIdleTimeout = time.Minute // after which an idle queue is removed
)

func newTransport(dial peer.Dialer, log logr.Logger) *transport {
	ctx, stop := context.WithCancel(context.Background())
	return &transport{dial: dial, log: log, ctx: ctx, stop: stop, queues: map[queueKey]*queue{}, addresses: map[consensus.NodeID]string{}}
}

// setAddress stores the address of a replica that has sent a message.
func (t *transport) setAddress(p consensus.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[p.ID] = p.Address
}

// Send implements replica.Transport.
func (t *transport) Send(peers []consensus.Peer, messages []consensus.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		t.addresses[p.ID] = p.Address
	}
	for _, m := range messages {
		key := queueKeyFor(m)
		q := t.queues[key]
		if q == nil {
			address := t.addresses[m.To]
			if address == "" {
				continue
			}
			q = newQueue()
			t.queues[key] = q
			go t.sendLoop(key, address, q)
		}
		q.put(m) // if it is dropped, consensus sends it again as needed
	}
}

// queue holds the messages to one replica.
type queue struct {
	messages chan consensus.Message
	bytes    atomic.Int64 // of the queued entries and snapshots
}

func newQueue() *queue { return &queue{messages: make(chan consensus.Message, queueLength)} }

// put queues a message, or returns false if the queue is full. An empty queue accepts a message of any size.
func (q *queue) put(m consensus.Message) bool {
	n := int64(payloadBytes([]consensus.Message{m}))
	if waiting := q.bytes.Load(); n > 0 && waiting > 0 && waiting+n > maxQueuedBytes {
		return false
	}
	q.bytes.Add(n)
	select {
	case q.messages <- m:
		return true
	default:
		q.bytes.Add(-n)
		return false
	}
}

// nextBatch returns the messages of the next call, starting with first, which was already taken from the
// queue. It does not block.
func (q *queue) nextBatch(first consensus.Message) []consensus.Message {
	out := []consensus.Message{first}
	taken := payloadBytes(out)
	for len(q.messages) > 0 && taken < maxBatchBytes { // there is no other receiver
		m := <-q.messages
		out = append(out, m)
		taken += payloadBytes([]consensus.Message{m})
	}
	q.bytes.Add(int64(-taken))
	return out
}

// payloadBytes returns the size of the entries and snapshots in the messages.
func payloadBytes(messages []consensus.Message) int {
	n := 0
	for _, m := range messages {
		for _, e := range m.Entries {
			n += len(e.Data)
		}
		if m.Snapshot != nil {
			n += len(m.Snapshot.Data)
		}
	}
	return n
}

func (t *transport) sendLoop(key queueKey, address string, q *queue) {
	client := peer.NewClient(address, t.dial)
	defer client.Close()
	var lastAnswer time.Time // when the replica last answered; zero if it never did
	opened := time.Now()
	unreachable := false // whether its failure to answer was logged
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(queueIdleTimeout)
		select {
		case <-t.ctx.Done():
			return
		case <-idle.C:
			if t.removeIfIdle(key, q) {
				return
			}
		case m := <-q.messages:
			batch := MessageBatch{From: t.self, Messages: q.nextBatch(m)}
			began := time.Now()
			answered, err := t.sendBatch(client, batch, ackDue(lastAnswer, began))
			switch {
			case answered && unreachable:
				t.log.Info("replica reachable again", "replica", key.to, "silent", time.Since(latest(opened, lastAnswer)))
			case err != nil && !unreachable:
				t.log.Info("replica unreachable", "replica", key.to, "address", address, "messages", len(batch.Messages), "bytes", payloadBytes(batch.Messages), "took", time.Since(began), "error", err.Error())
			}
			unreachable = err != nil || unreachable && !answered
			if answered {
				lastAnswer = time.Now()
			}
		}
	}
}

// ackDue reports whether an answer is required: always from a replica that has never answered.
func ackDue(lastAnswer, now time.Time) bool { return now.Sub(lastAnswer) >= ackInterval }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// sendBatch sends a batch and reports whether the replica answered. Consensus sends lost messages again. A
// batch of heartbeats alone is sent as a notification, except once per ackInterval, to detect a replica that
// does not answer.
func (t *transport) sendBatch(client *peer.Client, batch MessageBatch, needAck bool) (answered bool, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeoutFor(batch.Messages))
	defer cancel()
	if !needAck && heartbeatsOnly(batch.Messages) {
		return false, client.Notify(ctx, MethodRaft, batch)
	}
	err = client.CallIdempotent(ctx, MethodRaft, batch, nil)
	return err == nil, err
}

// sendTimeoutFor adds the transfer time of large messages: a snapshot would never arrive within a fixed
// timeout.
func sendTimeoutFor(messages []consensus.Message) time.Duration {
	return sendTimeout + peer.TransferTime(payloadBytes(messages))
}

func heartbeatsOnly(messages []consensus.Message) bool {
	for _, m := range messages {
		if m.Kind != consensus.MsgHeartbeat && m.Kind != consensus.MsgHeartbeatReply {
			return false
		}
	}
	return true
}

// removeIfIdle removes a queue that is empty, for example that of a replica whose disk was replaced.
func (t *transport) removeIfIdle(key queueKey, q *queue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	delete(t.queues, key)
	if t.queues[queueKey{key.to, !key.bulk}] == nil {
		delete(t.addresses, key.to)
	}
	return true
}

func (t *transport) close() { t.stop() }
