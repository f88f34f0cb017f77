package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// cutFor is how long a worker is cut off from the control addresses, but not from the machines that send it work
	// (fleetbench kinds: srv_cut, how reborn; for_s (5)).
	cutFor = 5 * time.Second
	// crashAfter and backAfter are when it crashes behind the cut, and when it starts again.
	crashAfter = 300 * time.Millisecond
	backAfter  = time.Second
	// otherCrash is when the worker crashes that writes the streams (srv_crash).
	otherCrash = 2 * time.Second
)

// versionsCase: a worker is cut off from the control addresses, crashes behind the cut and starts again under its id, with the
// next software version. Then the worker crashes that writes the streams, which go on at the first one.
func versionsCase(e env) int {
	s, err := newSystem(e.r, []bool{true, true, true, false})
	if err != nil {
		return e.fail("addresses", err)
	}
	defer s.stop()
	if err := s.startAll(); err != nil {
		return e.fail("start", err)
	}
	if _, ok := s.put(e.ctx, document(4)); !ok {
		return e.fail("desired state", fmt.Errorf("not acknowledged"))
	}
	boot := func(name, id, address, version string, more ...string) *process {
		args := append([]string{"-id", id, "-service", "pool", "-addr", address, "-version", version, "-events", fmt.Sprint(streamEvents), "-born", fmt.Sprint(time.Now().UnixMilli())}, more...)
		p, err := s.startWorker(name, args...)
		if err != nil {
			panic(err) // the program itself cannot be started again
		}
		return p
	}
	sleep(e.ctx, trafficStart)
	one, two := s.net+".101:8080", s.net+".102:8080"
	first, second := boot("w1", "i-1", one, "v1"), boot("w2", "i-2", two, "v1")
	for i := 2; i < poolSize; i++ {
		boot(fmt.Sprint("w", i+1), fmt.Sprint("i-", i+1), fmt.Sprintf("%s.%d:8080", s.net, 101+i), "v2")
	}
	for _, n := range s.nodes {
		if !await(e.ctx, n.isReady) || !await(e.ctx, func() bool { return s.begins(e, n, "warm-"+n.name, "resume.example") }) {
			return e.fail("warm-up", fmt.Errorf("%s serves no stream", n.name))
		}
	}
	results := make([]mix, poolStreams)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() { results[i] = s.versionsOf(e, s.nodes[i%len(s.nodes)], fmt.Sprintf("%016x", 0xbeef00+i)) })
	}
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if e.trouble {
		e.r.add("worker w2 is cut off from the control addresses for %s", cutFor)
		second.signal(syscall.SIGUSR2)
		at(crashAfter)
		e.r.add("worker w2 crashes")
		second.kill()
		at(backAfter)
		e.r.add("worker w2 starts again under its id, with version v2")
		boot("w2'", "i-2", two, "v2", "-cut", (cutFor - time.Since(began)).String())
	}
	at(otherCrash)
	e.r.add("worker w1 crashes")
	first.kill()
	all.Wait()
	mixed, whole, ended := 0, 0, 0
	for _, m := range results {
		if len(m.versions) > 1 {
			mixed++
		} else if m.whole {
			whole++
		} else {
			ended++
		}
	}
	return e.verdict(mixed > 2, "%d streams: %d hold events of two software versions, %d are whole and of one, %d broke off", len(results), mixed, whole, ended)
}

// mix is what a stream held.
type mix struct {
	versions map[string]bool
	whole    bool
}

// versionsOf has a stream served and returns the software versions of the workers that wrote its events.
func (s *system) versionsOf(e env, n *node, id string) mix {
	e.r.add("client: %s sent to %s", id, n.name)
	status, _, body, err := call(e.ctx, http.MethodPost, "http://"+n.front+"/chat/x", "hello "+id, ownPrompt(headers("resume.example", id, 12000), id))
	m := mix{versions: map[string]bool{}, whole: err == nil && status == http.StatusOK}
	count := 0
	for line := range strings.Lines(body) {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] == "data:" {
			m.versions[fields[len(fields)-1]] = true
			count++
		}
	}
	e.r.add("client: %s from %s: status %d, %d of %d events, of versions %v, end of the body: %v", id, n.name, status, count, streamEvents, m.versions, err)
	return m
}
