package stagework

import (
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// standstillTime is the silence from which on a goroutine that has a timer of ownerTick
// stood still: its process was frozen or had no processor.
const standstillTime = 500 * time.Millisecond

// doubtTime bounds for how long an owner that stood still starts no calls. While control has no
// leader nobody else is named, and the callers' jobs are better served by an owner that goes on.
const doubtTime = time.Second

// pulse tells that the owner's goroutine stood still.
type pulse struct {
	last  time.Time // when it was last seen at work
	armed bool      // its timer has been set since
}

// beat notes that the goroutine is at work, and returns for how long it stood still before;
// zero where that was no standstill, or cannot be known for want of a timer.
func (p *pulse) beat(now time.Time) time.Duration {
	silent := now.Sub(p.last)
	p.last = now
	if !p.armed || silent < standstillTime {
		return 0
	}
	return silent
}

// arm says whether the goroutine has its timer set until the next beat.
func (p *pulse) arm(now time.Time, armed bool) {
	if armed && !p.armed {
		p.last = now // there was no timer to be late
	}
	p.armed = armed
}

// standstill is the last time that this process stood still.
type standstill struct{ ended time.Time }

// before reports whether it had ended at a time.
func (s *standstill) before(at time.Time) bool { return !at.Before(s.ended) }

// stoodStill notes that the process did nothing until now. What calls took that were under way
// then is its own doing: counted as the upstreams', it would make all of them slow for the
// next ten seconds, and nearly every job would be refused. An owner has most likely been
// replaced meanwhile: it starts no calls until it is confirmed, or its successor's upstreams
// would work for jobs that have moved there.
func (s *scheduler) stoodStill(now time.Time) {
	s.still.ended = now
	s.doubted = s.owner
}

// confirmed ends the doubt after a standstill: this process is still the owner.
func (s *scheduler) confirmed() {
	s.doubted = false
	s.due = true
}

// doubtful reports whether calls have to wait until the owner is confirmed.
func (s *scheduler) doubtful(now time.Time) bool {
	return s.doubted && now.Sub(s.still.ended) < doubtTime
}

// measured reports whether what a call took, and that it did not end in time, tells of the
// upstream: the owner has not stood still meanwhile.
func (s *scheduler) measured(c *call) bool { return s.still.before(c.began) }

// ownership is the owner that this process knows of.
type ownership struct {
	owner wire.StageOwner
	age   time.Duration // since a quorum confirmed it
}

// ownershipOf returns what a process's synchronization knows.
func ownershipOf(sync *configsync.Service) func() ownership {
	return func() ownership {
		age := sync.StampAge() // first: the view is then as new as this, or newer
		if v := sync.View(); v != nil {
			return ownership{v.Owner, age}
		}
		return ownership{}
	}
}

// clearDoubt lets an owner that stood still go on once it is confirmed by a quorum after that.
func (s *Service) clearDoubt(now time.Time) {
	if !s.scheduler.doubtful(now) {
		return
	}
	at, self := s.owner(), s.self()
	if at.owner.ID == self.ID && at.owner.Incarnation == self.Incarnation && at.age < now.Sub(s.scheduler.still.ended) {
		s.log.Info("owner confirmed after a standstill", "epoch", at.owner.Epoch, "jobs", len(s.scheduler.jobs), "after", now.Sub(s.scheduler.still.ended))
		s.scheduler.confirmed()
	}
}
