package ledger

import (
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

// gateTimeFresh is how long a reading of a gate's clock is used for further
// claims. An older reading would be safe as well, but the gate may refuse it.
const gateTimeFresh = 10 * time.Second

// gateTimes remembers the last reading of each gate's clock, so that a claim
// costs no further round trip while confirmations are frequent.
type gateTimes struct {
	mu    sync.Mutex
	known map[wire.MemberID]gateReading
}

type gateReading struct {
	incarnation uint64
	gateTime    int64
	read        time.Time // on this process's clock, before the gate was asked
}

func newGateTimes() *gateTimes { return &gateTimes{known: map[wire.MemberID]gateReading{}} }

func (g *gateTimes) get(m wire.Member, now time.Time) (int64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.known[m.ID]
	if !ok || r.incarnation != m.Incarnation || now.Sub(r.read) > gateTimeFresh {
		return 0, false
	}
	return r.gateTime, true
}

func (g *gateTimes) put(id wire.MemberID, r gateReading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known[id] = r
}

func (g *gateTimes) drop(id wire.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.known, id)
}
