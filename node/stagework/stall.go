package stagework

import (
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
)

// stallThreshold is the delay from which on a goroutine with a timer of ownerTick counts as stalled:
// its process or VM was suspended, or got no CPU time.
const stallThreshold = 500 * time.Millisecond

// maxUnconfirmed bounds how long an owner starts no calls after a stall. While control has no leader
// no other owner is named, so jobs are better served by an owner that continues.
const maxUnconfirmed = time.Second

// stallDetector detects that the owner goroutine was stalled.
type stallDetector struct {
	last  time.Time // when the goroutine last ran
	armed bool      // a timer was set then
}

// observe records that the goroutine runs, and returns for how long it was stalled; zero if it was not, or
// if no timer was set, so that it is unknown.
func (p *stallDetector) observe(now time.Time) time.Duration {
	gap := now.Sub(p.last)
	p.last = now
	if !p.armed || gap < stallThreshold {
		return 0
	}
	return gap
}

// setArmed records whether the goroutine has a timer set until the next observe.
func (p *stallDetector) setArmed(now time.Time, armed bool) {
	if armed && !p.armed {
		p.last = now // without a timer, the time until now is no stall
	}
	p.armed = armed
}

// stall is the last stall of this process.
type stall struct{ ended time.Time }

// endedBefore reports whether the stall had ended at that time.
func (s *stall) endedBefore(at time.Time) bool { return !at.Before(s.ended) }

// recordStall records that the process was stalled until now. That time and the durations of calls in progress
// are then ignored: counted against the upstreams, they would make all of them seem slow for the next ten
// seconds, and nearly every job would be refused. Another owner has most likely been named meanwhile,
// so this one starts no calls until it is confirmed: the new owner's upstreams would work for jobs that
// have moved there.
func (s *scheduler) recordStall(now time.Time) {
	s.lastStall.ended = now
	s.unconfirmed = s.owner
	s.skipMeters(now)
}

// confirm records that this process is still the owner after a stall.
func (s *scheduler) confirm() {
	s.unconfirmed = false
	s.startPending = true
}

// awaitingConfirmation reports whether calls must wait until the ownership is confirmed.
func (s *scheduler) awaitingConfirmation(now time.Time) bool {
	return s.unconfirmed && now.Sub(s.lastStall.ended) < maxUnconfirmed
}

// unaffectedByStall reports whether the duration or timeout of a call says something about the upstream:
// the owner was not stalled during the call.
func (s *scheduler) unaffectedByStall(c *call) bool { return s.lastStall.endedBefore(c.started) }

// knownOwner is the owner that this process knows of.
type knownOwner struct {
	owner wire.StageOwner
	age   time.Duration // since a quorum confirmed it
}

// knownOwnerOf returns a function for the owner in the view of the configuration sync.
func knownOwnerOf(sync *configsync.Service) func() knownOwner {
	return func() knownOwner {
		age := sync.StampAge() // read first, so that the view is as new as this age or newer
		if v := sync.View(); v != nil {
			return knownOwner{v.Owner, age}
		}
		return knownOwner{}
	}
}

// confirmOwnership ends the wait after a stall once a quorum has confirmed this owner since.
func (s *Service) confirmOwnership(now time.Time) {
	if !s.scheduler.awaitingConfirmation(now) {
		return
	}
	at, self := s.ownership(), s.self()
	if at.owner.ID == self.ID && at.owner.Incarnation == self.Incarnation && at.age < now.Sub(s.scheduler.lastStall.ended) {
		s.log.Info("ownership confirmed after a stall", "epoch", at.owner.Epoch, "jobs", len(s.scheduler.jobs), "after", now.Sub(s.scheduler.lastStall.ended))
		s.scheduler.confirm()
	}
}
