package ingress

import (
	"time"

	"caperdrum.org/api/wire"
)

// answerMemory is how long the last answer of another process counts. A process that is so congested that it gets no answers
// any more decides by earlier ones.
const answerMemory = 5 * time.Second

// congestion tells whether this process is congested: its messages wait for its link or for its processor, on the way out
// or on the way in. It compares round trips to other processes: some that answer late may be congested themselves, but not
// most of them at once.
type congestion struct {
	roundTrips waits         // of probes, in excess of the shortest one to that process
	latest     time.Duration // of these
	others     map[wire.MemberID]*otherProcess
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
	c.latest = took - o.shortest
	c.roundTrips.add(now, c.latest)
}

// outOfReach records that a process cannot be connected to.
func (c *congestion) outOfReach(id wire.MemberID) {
	if o := c.others[id]; o != nil {
		o.answeredAt, o.connected = time.Time{}, false
	}
}

// known reports whether the process has answered recently.
func (c *congestion) known(now time.Time, id wire.MemberID) bool {
	o := c.others[id]
	return o != nil && o.connected && now.Sub(o.answeredAt) <= answerMemory
}

// load is a reading of how loaded this process is.
type load struct {
	known       bool          // at least one of the delays is
	roundTrip   time.Duration // in excess of the shortest: waits for the link and the processor, on both ways
	processor   time.Duration // waits for the processor alone
	connections time.Duration // waits of calls for a connection to an upstream, of the service where they are longest
	service     string        // that service; empty if no calls wait
	// roomElsewhere says that at least half of the processes that are probed are not congested, so that callers that are
	// turned away here will most likely be served there. Those of the same data centre count, and the others only if there
	// are none.
	roomElsewhere bool
}

// load returns the load by the probes that began after since.
func (c *congestion) load(now, since time.Time) load {
	var l load
	l.roundTrip, l.known = c.roundTrips.median(now, since)
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
