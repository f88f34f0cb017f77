package ingress

import (
	"time"

	"caperdrum.org/api/wire"
)

const (
	// probeMemory is how long a round trip counts.
	probeMemory = 700 * time.Millisecond
	// minProbes is the number of round trips below which nothing is concluded from them.
	minProbes = 3
	// answerMemory is how long the last answer of another process counts. A process that is so congested that it gets no
	// answers any more decides by earlier ones.
	answerMemory = 5 * time.Second
)

// congestion tells whether this process is congested: its messages wait for its link or for its processor, on the way out
// or on the way in. It compares round trips to other processes: a single one that answers late may be congested itself, but
// not all of them at once.
type congestion struct {
	roundTrips []roundTrip // oldest first
	others     map[wire.MemberID]*otherProcess
}

// roundTrip is the duration of a probe.
type roundTrip struct {
	began  time.Time
	at     time.Time     // when it ended
	excess time.Duration // over the shortest one to that process
}

// otherProcess is what is known about a process that is probed.
type otherProcess struct {
	near       bool          // in the same data centre
	shortest   time.Duration // round trip; zero before the second answer, as the first one includes the time to connect
	connected  bool
	answeredAt time.Time // zero if it has not answered, or is out of reach
	congested  bool      // by its last answer
}

func newCongestion() *congestion { return &congestion{others: map[wire.MemberID]*otherProcess{}} }

// setTargets sets the processes that are probed by one of the given data centre.
func (c *congestion) setTargets(dataCenter string, targets []wire.Member) {
	before := c.others
	c.others = make(map[wire.MemberID]*otherProcess, len(targets))
	for _, m := range targets {
		c.others[m.ID] = before[m.ID]
		if c.others[m.ID] == nil {
			c.others[m.ID] = &otherProcess{near: m.DataCenter == dataCenter}
		}
	}
}

// answered records an answer that arrived a round trip after the probe was sent.
func (c *congestion) answered(now time.Time, from wire.MemberID, took time.Duration, congested bool) {
	o := c.others[from]
	if o == nil {
		return // it is no longer probed
	}
	o.answeredAt, o.congested = now, congested
	if !o.connected {
		o.connected = true
		return
	}
	if o.shortest == 0 || took < o.shortest {
		o.shortest = took
	}
	c.roundTrips = append(c.roundTrips, roundTrip{now.Add(-took), now, took - o.shortest})
}

// outOfReach records that a process cannot be connected to.
func (c *congestion) outOfReach(id wire.MemberID) {
	if o := c.others[id]; o != nil {
		o.answeredAt, o.connected = time.Time{}, false
	}
}

// delayed reports whether the last round trip took longer than usual by more than the given time.
func (c *congestion) delayed(by time.Duration) bool {
	n := len(c.roundTrips)
	return n > 0 && c.roundTrips[n-1].excess > by
}

// known reports whether the process has answered recently.
func (c *congestion) known(now time.Time, id wire.MemberID) bool {
	o := c.others[id]
	return o != nil && o.connected && now.Sub(o.answeredAt) <= answerMemory
}

// load is a reading of how loaded this process is.
type load struct {
	known       bool
	roundTrip   time.Duration // shortest one in excess: waits for the link and the processor, on both ways
	processor   time.Duration // waits for the processor alone
	connections time.Duration // waits of calls for a connection to an upstream, of the service where they are longest
	// roomElsewhere says that at least half of the processes that are probed are not congested, so that callers that are
	// turned away here will most likely be served there. Those of the same data centre count, and the others only if there
	// are none.
	roomElsewhere bool
}

// load returns the load by the probes that began after since.
func (c *congestion) load(now, since time.Time) load {
	for len(c.roundTrips) > 0 && now.Sub(c.roundTrips[0].at) > probeMemory {
		c.roundTrips = c.roundTrips[1:]
	}
	var l load
	recent := 0
	for _, r := range c.roundTrips {
		if r.began.Before(since) {
			continue
		}
		if recent++; recent == 1 || r.excess < l.roundTrip {
			l.roundTrip = r.excess
		}
	}
	if l.known = recent >= minProbes; !l.known {
		l.roundTrip = 0
	}
	near, nearFree, all, free := 0, 0, 0, 0
	for id, o := range c.others {
		all++
		if o.near {
			near++
		}
		if c.known(now, id) && !o.congested {
			free++
			if o.near {
				nearFree++
			}
		}
	}
	if near > 0 {
		all, free = near, nearFree
	}
	l.roomElsewhere = free > 0 && 2*free >= all
	return l
}

// delay returns how long calls wait for what this process has too little of.
func (l load) delay() time.Duration { return max(l.roundTrip, l.processor, l.connections) }
