package retry

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// These tests guard against the following failure: while a service's upstreams failed and
// processes were restarting, all processes together repeated more calls within ten seconds than
// the limit of a fifth of the requests plus a fixed number, although each kept to its own share.
// A restarted process got a new share while the repeats of its earlier incarnation still counted,
// and a process that saw few members took a large share while those that it did not see used
// theirs. With 23 processes killed every 1.5 s and 60 failing requests a second there were 220
// repeats where 205 were allowed. After a partition from the control processes, the four
// remaining ones took 16 each in addition to the two of each of the others.

// simulation runs processes that share a limit on one fake clock: their views, and what callers
// and upstreams see.
type simulation struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	limit     Limit
	processes []*process
	requests  []time.Time // when callers sent them
	repeats   []time.Time // when they arrive at upstreams
}

const (
	timeStep       = 50 * time.Millisecond
	memberLease    = 3 * time.Second        // after which a silent process is no longer a member
	syncEvery      = 600 * time.Millisecond // longest time between two confirmations of a view
	maxRepeatDelay = 400 * time.Millisecond // longest time that a repeat takes to arrive at its upstream
)

// process is one simulated process across all its incarnations.
type process struct {
	sim         *simulation
	downUntil   time.Time
	cutOffUntil time.Time // partitioned from the control processes; it keeps serving
	weight      float64   // share of the requests, relative to the other processes

	quota   *Quota // of this incarnation; nil while it is down
	peers   *Peers
	joined  bool // this incarnation is a member
	renewed time.Time
	synced  time.Time // when its view was last confirmed; zero before the first time
	since   time.Time // when the uninterrupted confirmations began
	members int       // in its view
}

func newSimulation(n int, limit Limit, seed uint64) *simulation {
	a := &simulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 33)), limit: limit}
	for range n {
		a.processes = append(a.processes, &process{sim: a, weight: 1})
	}
	return a
}

// run simulates d with perSecond requests a second, of which the fraction failing fails.
func (a *simulation) run(d time.Duration, perSecond, failing float64) {
	for range d / timeStep {
		a.clock.Advance(timeStep)
		for _, p := range a.processes {
			p.tick()
		}
		for due := perSecond * timeStep.Seconds(); a.random.Float64() < due; due-- {
			a.request(failing)
		}
	}
}

func (a *simulation) request(failing float64) {
	p := a.pick()
	if p == nil {
		return // no process serves
	}
	now := a.clock.Now()
	a.requests = append(a.requests, now)
	p.quota.First("s")
	if a.random.Float64() < failing && p.quota.Take("s").Allowed {
		a.repeats = append(a.repeats, now.Add(time.Duration(a.random.Int64N(int64(maxRepeatDelay)))))
	}
}

// pick returns a serving process at random, by weight.
func (a *simulation) pick() *process {
	sum := 0.0
	for _, p := range a.processes {
		if p.serves() {
			sum += p.weight
		}
	}
	at := a.random.Float64() * sum
	for _, p := range a.processes {
		if !p.serves() {
			continue
		}
		if at < p.weight {
			return p
		}
		at -= p.weight
	}
	return nil
}

func (p *process) serves() bool { return p.quota != nil && !p.synced.IsZero() }

// kill ends the process; it restarts after down.
func (p *process) kill(down time.Duration) {
	p.quota, p.joined = nil, false
	p.downUntil = p.sim.clock.Now().Add(down)
}

// cutOff partitions the process from the control processes for d.
func (p *process) cutOff(d time.Duration) { p.cutOffUntil = p.sim.clock.Now().Add(d) }

// tick restarts the process when due, and synchronizes its view.
func (p *process) tick() {
	now := p.sim.clock.Now()
	if p.quota == nil {
		if now.Before(p.downUntil) {
			return
		}
		p.synced, p.since, p.joined = time.Time{}, time.Time{}, false
		p.peers = NewPeers(p.sim.limit.Window, p.sim.clock, Confirmations{p.confirmedFor, longestGap})
		p.quota = NewQuota(p.sim.limit, p.sim.clock, p.peers)
	}
	if now.Before(p.cutOffUntil) || now.Sub(p.synced) < p.sim.jitter(syncEvery) {
		return
	}
	if p.synced.IsZero() || now.Sub(p.synced) > longestGap {
		p.since = now
	}
	p.synced, p.renewed = now, now
	p.members = p.sim.members()
	p.peers.Update(Membership{Members: p.members, IncludesSelf: p.joined && p.isMember()})
	p.joined = true // from the next view on
}

// longestGap is the longest time between two confirmations of a view that counts as uninterrupted.
const longestGap = 3 * time.Second

func (p *process) confirmedFor() time.Duration {
	if now := p.sim.clock.Now(); !p.synced.IsZero() && now.Sub(p.synced) <= longestGap {
		return now.Sub(p.since)
	}
	return 0
}

// isMember reports whether the process's lease at the control processes is valid.
func (p *process) isMember() bool {
	return !p.renewed.IsZero() && p.sim.clock.Now().Sub(p.renewed) <= memberLease
}

func (a *simulation) members() int {
	n := 0
	for _, p := range a.processes {
		if p.isMember() {
			n++
		}
	}
	return n
}

func (a *simulation) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(a.random.Int64N(int64(d/2)))
}

// check counts the repeats of every window that begins with a repeat, as the users do. They are
// compared to the requests of that window, of the one before it, or of the one that begins half a
// window earlier, whichever has the most.
func (a *simulation) check(t interface{ Fatalf(string, ...any) }) {
	sort.Slice(a.repeats, func(i, j int) bool { return a.repeats[i].Before(a.repeats[j]) })
	w := a.limit.Window
	for _, from := range a.repeats {
		requests := 0
		for _, shift := range []time.Duration{0, -w / 2, -w} {
			requests = max(requests, within(a.requests, from.Add(shift), w))
		}
		allowed := a.limit.Ratio*float64(requests) + a.limit.Fixed
		if n := within(a.repeats, from, w); float64(n) > allowed {
			t.Fatalf("%d repeats in a window with %d requests, %.1f allowed", n, requests, allowed)
		}
	}
}

// within counts the times in [from, from+d) of a sorted list.
func within(list []time.Time, from time.Time, d time.Duration) int {
	at := func(when time.Time) int {
		return sort.Search(len(list), func(i int) bool { return !list[i].Before(when) })
	}
	return at(from.Add(d)) - at(from)
}

var sharedLimit = Limit{Ratio: 0.2, Fixed: 86, Window: 10 * time.Second}

// TestProcessesShareTheRepeatLimit replays the failures described above, and other situations in
// which the shares could add up to more than the limit.
func TestProcessesShareTheRepeatLimit(t *testing.T) {
	const settle = 30 * time.Second
	cases := map[string]func(a *simulation){
		"all are killed repeatedly": func(a *simulation) {
			a.run(settle, 60, 0)
			for range 12 {
				a.run(1200*time.Millisecond, 60, 1)
				for _, p := range a.processes {
					p.kill(300 * time.Millisecond)
				}
				a.run(300*time.Millisecond, 60, 1)
			}
		},
		"most are cut off from control and keep serving": func(a *simulation) {
			a.processes[0].weight = float64(len(a.processes)) // callers are spread unevenly
			a.run(settle, 25, 0)
			for _, p := range a.processes[1:] {
				p.cutOff(20 * time.Second)
			}
			a.run(20*time.Second, 25, 1)
		},
		"no process fails, and a service with few requests does": func(a *simulation) {
			a.processes = a.processes[:11]
			a.run(settle, 20, 0)
			a.run(20*time.Second, 20, 1)
		},
		"most are cut off for longer than a window": func(a *simulation) {
			a.processes[0].weight = float64(len(a.processes))
			a.run(settle, 25, 0)
			for _, p := range a.processes[1:] {
				p.cutOff(50 * time.Second)
			}
			a.run(50*time.Second, 25, 1)
		},
		"most have repeated calls and stay down": func(a *simulation) {
			a.run(settle, 30, 0)
			a.run(4*time.Second, 30, 1)
			for _, p := range a.processes[1:] {
				p.kill(time.Hour)
			}
			a.run(10*time.Second, 30, 1)
		},
		"all are killed once they are settled": func(a *simulation) {
			a.processes = a.processes[:11] // a number by which the fixed number divides without much remainder
			a.run(settle, 35, 0)
			for range 4 {
				for _, p := range a.processes {
					p.kill(100 * time.Millisecond)
				}
				a.run(7*time.Second, 3, 1)
				a.run(1500*time.Millisecond, 80, 1)
			}
		},
		"all start for the first time, one after another": func(a *simulation) {
			for i, p := range a.processes {
				p.downUntil = a.clock.Now().Add(time.Duration(i) * 400 * time.Millisecond)
			}
			a.run(20*time.Second, 150, 1)
		},
		"callers move to the other processes": func(a *simulation) {
			half := a.processes[:len(a.processes)/2]
			for _, p := range a.processes[len(half):] {
				p.weight = 0
			}
			a.run(settle, 300, 0)
			a.run(3*time.Second, 300, 1)
			for i, p := range a.processes {
				p.weight = 0
				if i >= len(half) {
					p.weight = 1
				}
			}
			a.run(15*time.Second, 300, 1)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			a := newSimulation(23, sharedLimit, 1)
			run(a)
			if len(a.repeats) == 0 {
				t.Fatal("nothing was repeated")
			}
			a.check(t)
		})
	}
}

// TestRepeatLimitHoldsUnderRandomEvents draws random failures of the processes and movements
// of their callers.
func TestRepeatLimitHoldsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newSimulation(rapid.IntRange(1, 30).Draw(t, "processes"), sharedLimit, rapid.Uint64().Draw(t, "seed"))
		perSecond := rapid.Float64Range(1, 150).Draw(t, "requests a second")
		a.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds to settle"))*time.Second, perSecond, 0)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			some := a.sample(rapid.Float64Range(0, 1).Draw(t, "part of the processes"))
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"kill", "cut", "callers move", "nothing"}).Draw(t, "event") {
			case "kill":
				for _, p := range some {
					p.kill(d)
				}
			case "cut":
				for _, p := range some {
					p.cutOff(4 * d)
				}
			case "callers move":
				for _, p := range some {
					p.weight = 1 - p.weight
				}
			}
			wait := time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms until the next")) * time.Millisecond
			a.run(wait, perSecond, rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "failing"))
		}
		a.check(t)
	})
}

// sample returns each process with the given probability.
func (a *simulation) sample(part float64) []*process {
	var out []*process
	for _, p := range a.processes {
		if a.random.Float64() < part {
			out = append(out, p)
		}
	}
	return out
}
