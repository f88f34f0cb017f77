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

// links sends consensus messages. Each replica has two queues, each with a goroutine and
// a connection of its own, so that one that does not read holds up nobody, and entries
// do not hold up heartbeats: 1 MB to each of six followers takes 0.5 s of a link of 100
// Mbit/s, and a follower that hears nothing for 0.6 s elects another leader.
type transport struct {
	dial peer.Dialer
	log  logr.Logger
	self consensus.Peer
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	queues    map[queueKey]*queue
	addresses map[consensus.NodeID]string // for replicas that are not in the membership (yet)
}

// lane is one of the two ways to a replica. Consensus bears that messages of one overtake
// those of the other; entries among themselves stay in order.
type queueKey struct {
	to   consensus.NodeID
	bulk bool // carries entries and snapshots
}

func queueKeyFor(m consensus.Message) queueKey {
	return queueKey{m.To, m.Kind == consensus.MsgAppend || m.Kind == consensus.MsgSnapshot}
}

const (
	queueLength = 1024
	// maxQueued bounds the entries and snapshots that wait for one replica, in
	// bytes. A leader repeats them while a link is cut; a queue of 7.6 MB became
	// 70 MB of heap when it was encoded at once. Two full appends fit.
	maxQueuedBytes = 2 << 20
	// maxDelivered is the size from which on no further message goes into a call,
	// in bytes: that of one full append.
	maxBatchBytes = 1 << 20
	sendTimeout   = time.Second
	// slowestLink is the rate in bytes a second below which a call with entries or a
	// snapshot is given up: a tenth of a link of 100 Mbit/s.
	minLinkRate = 1.25e6
	// confirmInterval bounds, with sendTimeout, how long a silent cut goes unseen.
	ackInterval      = 500 * time.Millisecond
	queueIdleTimeout = time.Minute // after which a replica's queue is given up
)

func newTransport(dial peer.Dialer, log logr.Logger) *transport {
	ctx, stop := context.WithCancel(context.Background())
	return &transport{dial: dial, log: log, ctx: ctx, stop: stop, queues: map[queueKey]*queue{}, addresses: map[consensus.NodeID]string{}}
}

// learn remembers where a replica that only sent us messages listens.
func (l *transport) setAddress(p consensus.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses[p.ID] = p.Address
}

// Send implements replica.Transport.
func (l *transport) Send(peers []consensus.Peer, messages []consensus.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		l.addresses[p.ID] = p.Address
	}
	for _, m := range messages {
		way := queueKeyFor(m)
		q := l.queues[way]
		if q == nil {
			address := l.addresses[m.To]
			if address == "" {
				continue
			}
			q = newQueue()
			l.queues[way] = q
			go l.sendLoop(way, address, q)
		}
		q.put(m) // consensus sends again what matters
	}
}

// queue holds the messages to one replica.
type queue struct {
	messages chan consensus.Message
	bytes    atomic.Int64 // of the entries and snapshots among them
}

func newQueue() *queue { return &queue{messages: make(chan consensus.Message, queueLength)} }

// put queues a message, unless there is no room. An empty queue takes one of any
// size.
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

// takeAfter returns the messages of the next call, of which the first was taken
// already. It does not wait.
func (q *queue) nextBatch(first consensus.Message) []consensus.Message {
	out := []consensus.Message{first}
	taken := payloadBytes(out)
	for len(q.messages) > 0 && taken < maxBatchBytes { // nobody else takes any
		m := <-q.messages
		out = append(out, m)
		taken += payloadBytes([]consensus.Message{m})
	}
	q.bytes.Add(int64(-taken))
	return out
}

// size is how many bytes of entries and snapshots the messages hold.
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

func (l *transport) sendLoop(way queueKey, address string, q *queue) {
	client := peer.NewClient(address, l.dial)
	defer client.Close()
	var confirmed time.Time // when the other end last answered; zero before it did
	opened := time.Now()
	silent := false // it was logged that it does not
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(queueIdleTimeout)
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.removeIfIdle(way, q) {
				return
			}
		case m := <-q.messages:
			batch := RaftBatch{From: l.self, Messages: q.nextBatch(m)}
			began := time.Now()
			answered, err := l.sendBatch(client, batch, ackDue(confirmed, began))
			switch {
			case answered && silent:
				l.log.Info("replica reached again", "replica", way.to, "silent", time.Since(latest(opened, confirmed)))
			case err != nil && !silent:
				l.log.Info("replica not reached", "replica", way.to, "address", address, "messages", len(batch.Messages), "bytes", payloadBytes(batch.Messages), "took", time.Since(began), "error", err.Error())
			}
			silent = err != nil || silent && !answered
			if answered {
				confirmed = time.Now()
			}
		}
	}
}

// confirmDue reports whether the other end is to answer: one that never did may not be there.
func ackDue(confirmed, now time.Time) bool { return now.Sub(confirmed) >= ackInterval }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// deliver sends a batch and reports whether the other end answered. Lost ones
// are sent again by consensus. Heartbeats alone go without an answer, except
// one in confirmInterval, which finds out a link that was cut silently.
func (l *transport) sendBatch(client *peer.Client, batch RaftBatch, confirm bool) (answered bool, err error) {
	ctx, cancel := context.WithTimeout(l.ctx, sendTimeoutFor(batch.Messages))
	defer cancel()
	if !confirm && heartbeatsOnly(batch.Messages) {
		return false, client.Notify(ctx, MethodRaft, batch)
	}
	err = client.Call(ctx, MethodRaft, batch, nil)
	return err == nil, err
}

// timeoutOf leaves a call with many bytes the time that they take: a snapshot that is
// cut after a fixed time never arrives.
func sendTimeoutFor(messages []consensus.Message) time.Duration {
	return sendTimeout + time.Duration(float64(payloadBytes(messages))/minLinkRate*float64(time.Second))
}

func heartbeatsOnly(messages []consensus.Message) bool {
	for _, m := range messages {
		if m.Kind != consensus.MsgHeartbeat && m.Kind != consensus.MsgHeartbeatReply {
			return false
		}
	}
	return true
}

// giveUp forgets an idle queue, for instance of a disk that was replaced.
func (l *transport) removeIfIdle(way queueKey, q *queue) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	delete(l.queues, way)
	if l.queues[queueKey{way.to, !way.bulk}] == nil {
		delete(l.addresses, way.to)
	}
	return true
}

func (l *transport) close() { l.stop() }
