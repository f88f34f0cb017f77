package connlimit

import (
	"cmp"
	"net"
	"time"
)

// take counts a new connection. If its listener has as many as it may have, another one is closed for it; it returns nil if
// there is none that may be closed.
func (s *Service) take(c net.Conn, kind Kind) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if limit := s.connections[kind]; limit > 0 && len(s.conns[kind]) >= limit {
		victim := s.longestUnused(kind, now)
		if victim == nil {
			s.noteClosed(kind, reasonDescriptors, now)
			return nil
		}
		s.evict(victim, reasonDescriptors, now)
	}
	counted := &Conn{Conn: c, s: s, kind: kind, phase: awaitsRequest, since: now}
	s.conns[kind][counted] = struct{}{}
	return counted
}

// longestUnused returns the connection of the kind to close for a new one: the oldest of those that have never brought a
// complete request, if they are many or it has had time for one, or else the one that has been idle for longest, or else one
// whose client does not read its answer. The caller must hold the lock.
func (s *Service) longestUnused(kind Kind, now time.Time) *Conn {
	var useless, idle, unread *Conn
	count := 0
	for c := range s.conns[kind] {
		switch {
		case c.requests == 0 && c.phase != requestComplete:
			count++
			if useless == nil || c.since.Before(useless.since) {
				useless = c
			}
		case c.phase == awaitsRequest && now.Sub(c.since) >= minIdle:
			if idle == nil || c.since.Before(idle.since) {
				idle = c
			}
		case c.unreadFor(now) >= maxUnreadTime:
			unread = c
		}
	}
	if useless != nil && (now.Sub(useless.since) >= minIdle || count > len(s.conns[kind])/2) {
		return useless
	}
	return cmp.Or(idle, unread, useless)
}

// charge adds n bytes to what c holds, and closes connections until they fit. It reports whether c may go on. The caller must
// hold the lock.
func (s *Service) charge(c *Conn, n int64) bool {
	if c.evicted || c.closed {
		return false
	}
	before := c.charged()
	c.held += n
	more := c.charged() - before
	s.add(more)
	for more > 0 && s.used > s.limit && !c.evicted {
		victim := s.largest(c)
		if victim != c || !s.overdraw(c) {
			s.evict(victim, reasonMemory, s.clock.Now())
		}
	}
	return !c.evicted
}

// overdraw takes what a connection of a peer holds out of the account, as the state of a cluster may be larger: one message at a
// time. It reports whether that was possible. Another one whose message makes no progress is closed for it. The caller must hold
// the lock.
func (s *Service) overdraw(c *Conn) bool {
	if c.kind != Peers {
		return false
	}
	now := s.clock.Now()
	if other := s.overdrawn; other != nil {
		if now.Sub(other.readAt) < maxMessagePause {
			return false
		}
		s.evict(other, reasonMemory, now)
	}
	s.add(-c.charged())
	s.overdrawn = c
	return true
}

// endOverdraft notes that c holds nothing beside the account any more. The caller must hold the lock.
func (s *Service) endOverdraft(c *Conn) {
	if s.overdrawn == c {
		s.overdrawn = nil
	}
}

// awaitLeaving waits while much of what evicted connections have held is not free yet. It reports whether c may go on. The
// caller must hold the lock.
func (s *Service) awaitLeaving(c *Conn) bool {
	for s.leaving > s.limit/leavingDivisor && !c.evicted {
		s.left.Wait()
	}
	return !c.evicted
}

// largest returns the connection without a complete request that holds most, and c if that is no smaller. The caller must
// hold the lock.
func (s *Service) largest(c *Conn) *Conn {
	most := c
	for _, conns := range s.conns {
		for o := range conns {
			if o.phase != requestComplete && o != s.overdrawn && (o.held > most.held || o.held == most.held && o.since.Before(most.since)) {
				most = o
			}
		}
	}
	return most
}

// add changes the number of bytes in use by n. The caller must hold the lock.
func (s *Service) add(n int64) {
	s.used += n
	heldVar.Add(n)
}

// evict closes a connection. Its bytes are free once its server has noticed it. The caller must hold the lock.
func (s *Service) evict(c *Conn, why reason, now time.Time) {
	delete(s.conns[c.kind], c)
	c.evicted = true
	s.add(-c.charged())
	s.endOverdraft(c)
	s.leaving += c.charged()
	s.left.Broadcast()
	s.noteClosed(c.kind, why, now)
	reset(c.Conn)
}

// remove ends the count of a connection that its server closes. The caller must hold the lock.
func (s *Service) remove(c *Conn) {
	switch _, known := s.conns[c.kind][c]; {
	case known:
		delete(s.conns[c.kind], c)
		s.add(-c.charged())
	case c.evicted:
		s.leaving -= c.charged()
		s.left.Broadcast()
	}
	c.held, c.closed = 0, true
	s.endOverdraft(c)
}

// noteClosed counts a closed connection, and logs what was counted at most once in logInterval. The caller must hold the lock.
func (s *Service) noteClosed(kind Kind, why reason, now time.Time) {
	label := string(kind) + "/" + string(why)
	closedVar.Add(label, 1)
	s.closed[label]++
	if now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.log.Info("clients disconnected", "closed", s.closed, "held_bytes", s.used, "limit_bytes", s.limit)
	s.closed, s.loggedAt = map[string]int{}, now
}
