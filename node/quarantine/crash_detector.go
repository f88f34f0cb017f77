package quarantine

import (
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
)

const (
	// undecided is how long an upstream may be out of reach until nothing is concluded from
	// the calls that broke off there: it is over the lease of an upstream that falls silent.
	checkTTL = 10 * time.Second
	// remembered is how long the end of an upstream is known here, for calls of which it is
	// noticed late that they broke off.
	crashTTL = 10 * time.Second
)

// Broken is a call that broke off while an upstream had it.
type Broken struct {
	Call     Call
	Request  string // id of the try, for logs
	Route    string
	Upstream wire.Member
}

// Inquiries find out why calls broke off: whether their upstream's process has ended, or only
// the answer was cut. Nobody listens any more at the address of a process that has ended.
type Inquiries struct {
	probe   func(address string) error // nil when somebody does
	onCrash func(Broken)               // is told of every call under which an upstream ended
	clock   clockwork.Clock

	mu     sync.Mutex
	checks map[wire.Start]*upstreamCheck
}

type upstreamCheck struct {
	upstream  wire.Member
	updatedAt time.Time
	crashed   bool
	probing   bool
	calls     []Broken // that wait for the answer
}

// NewInquiries returns inquiries that report to ended, which must not block.
func NewInquiries(listens func(address string) error, ended func(Broken), clock clockwork.Clock) *Inquiries {
	return &Inquiries{probe: listens, onCrash: ended, clock: clock, checks: map[wire.Start]*upstreamCheck{}}
}

// Broke asks why the call broke off.
func (d *Inquiries) Broke(b Broken) {
	start := b.Upstream.Start()
	d.mu.Lock()
	d.expire()
	check := d.checks[start]
	if check == nil {
		check = &upstreamCheck{upstream: b.Upstream, updatedAt: d.clock.Now()}
		d.checks[start] = check
	}
	crashed := check.crashed
	if !crashed {
		check.calls = append(check.calls, b)
	}
	startProbe := !crashed && !check.probing
	check.probing = check.probing || startProbe
	d.mu.Unlock()
	if crashed {
		d.onCrash(b)
	}
	if startProbe {
		go d.runProbe(start, b.Upstream.Direct)
	}
}

// ask looks whether somebody listens at the upstream's address.
func (d *Inquiries) runProbe(start wire.Start, address string) {
	switch err := d.probe(address); {
	case err == nil:
		d.markAlive(start)
	case Refused(err):
		d.Ended(start)
	default: // out of reach: the members will tell
		d.mu.Lock()
		if check := d.checks[start]; check != nil {
			check.probing = false
		}
		d.mu.Unlock()
	}
}

// Refused reports whether a connection was refused since nobody listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (d *Inquiries) markAlive(start wire.Start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if check := d.checks[start]; check != nil && !check.crashed {
		delete(d.checks, start)
	}
}

// Ended tells that a start of an upstream has ended. Without calls that broke off there it
// means nothing here.
func (d *Inquiries) Ended(start wire.Start) {
	d.mu.Lock()
	check := d.checks[start]
	var calls []Broken
	if check != nil {
		calls, check.calls, check.crashed, check.updatedAt = check.calls, nil, true, d.clock.Now()
	}
	d.mu.Unlock()
	for _, b := range calls {
		d.onCrash(b)
	}
}

// Follow takes over the members: a start whose address is another's now has ended.
func (d *Inquiries) Follow(members memberset.Set) {
	d.mu.Lock()
	if len(d.checks) == 0 {
		d.mu.Unlock()
		return
	}
	addresses := map[string]bool{}
	for m := range members.All() {
		addresses[m.Direct] = true
	}
	var ended []wire.Start
	for start, check := range d.checks {
		if m, known := members.Get(start.ID); !check.crashed && (!known || m.Start() != start) && addresses[check.upstream.Direct] {
			ended = append(ended, start)
		}
	}
	d.mu.Unlock()
	for _, start := range ended {
		d.Ended(start)
	}
}

// forget drops what is too old to be concluded from.
func (d *Inquiries) expire() {
	for start, check := range d.checks {
		if age := d.clock.Since(check.updatedAt); check.crashed && age > crashTTL || !check.crashed && age > checkTTL {
			delete(d.checks, start)
		}
	}
}
