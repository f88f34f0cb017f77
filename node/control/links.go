package control

import (
	"context"
	"sync"
	"time"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/peer"
)

// links sends consensus messages. Each replica has a queue and a goroutine of
// its own, so one that does not read holds up nobody.
type links struct {
	dial peer.Dialer
	self consensus.Peer
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	queues map[consensus.NodeID]chan consensus.Message
	addr   map[consensus.NodeID]string // for replicas that are not in the membership (yet)
}

const (
	queueLength = 1024
	sendTimeout = time.Second
	// confirmInterval bounds, with sendTimeout, how long a silent cut goes unseen.
	confirmInterval = 500 * time.Millisecond
	idleLimit       = time.Minute // after which a replica's queue is given up
)

func newLinks(dial peer.Dialer) *links {
	ctx, stop := context.WithCancel(context.Background())
	return &links{dial: dial, ctx: ctx, stop: stop, queues: map[consensus.NodeID]chan consensus.Message{}, addr: map[consensus.NodeID]string{}}
}

// learn remembers where a replica that only sent us messages listens.
func (l *links) learn(p consensus.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr[p.ID] = p.Address
}

// Send implements replica.Transport.
func (l *links) Send(peers []consensus.Peer, messages []consensus.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		l.addr[p.ID] = p.Address
	}
	for _, m := range messages {
		q := l.queues[m.To]
		if q == nil {
			address := l.addr[m.To]
			if address == "" {
				continue
			}
			q = make(chan consensus.Message, queueLength)
			l.queues[m.To] = q
			go l.pump(m.To, address, q)
		}
		select {
		case q <- m:
		default: // consensus sends again what matters
		}
	}
}

func (l *links) pump(id consensus.NodeID, address string, q chan consensus.Message) {
	client := peer.NewClient(address, l.dial)
	defer client.Close()
	var confirmed time.Time // when the other end last answered
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		idle.Reset(idleLimit)
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.giveUp(id, q) {
				return
			}
		case m := <-q:
			batch := RaftBatch{From: l.self, Messages: append([]consensus.Message{m}, takeAll(q)...)}
			if l.deliver(client, batch, time.Since(confirmed) >= confirmInterval) {
				confirmed = time.Now()
			}
		}
	}
}

// deliver sends a batch and reports whether the other end answered. Lost ones
// are sent again by consensus. Heartbeats alone go without an answer, except
// one in confirmInterval, which finds out a link that was cut silently.
func (l *links) deliver(client *peer.Client, batch RaftBatch, confirm bool) bool {
	ctx, cancel := context.WithTimeout(l.ctx, sendTimeout)
	defer cancel()
	if !confirm && heartbeatsOnly(batch.Messages) {
		client.Notify(ctx, MethodRaft, batch)
		return false
	}
	return client.Call(ctx, MethodRaft, batch, nil) == nil
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
func (l *links) giveUp(id consensus.NodeID, q chan consensus.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(l.queues, id)
	delete(l.addr, id)
	return true
}

func takeAll(q chan consensus.Message) []consensus.Message {
	var out []consensus.Message
	for {
		select {
		case m := <-q:
			out = append(out, m)
		default:
			return out
		}
	}
}

func (l *links) close() { l.stop() }
