package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// noticeToEnd is how long after its notice a reclaimed worker is gone (fleetbench kinds: scale_in, how spot, x s (2)).
const noticeToEnd = 2 * time.Second

// leavingCase: a worker says that it leaves and is gone 2 s later, while it writes streams that end with their connection. It is one of
// poolSize.
func leavingCase(e env) int {
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
	var workers []*process
	for i := range poolSize {
		w, err := s.startWorker(fmt.Sprint("w", i+1), "-id", fmt.Sprint("i-", i+1), "-service", "pool", "-addr", fmt.Sprintf("%s.%d:8080", s.net, 101+i), "-unframed", "-events", fmt.Sprint(streamEvents))
		if err != nil {
			return e.fail("worker", err)
		}
		workers = append(workers, w)
	}
	for _, n := range s.nodes {
		if !await(e.ctx, n.isReady) || !await(e.ctx, func() bool { return s.begins(e, n, "warm-"+n.name, "desk.example") }) {
			return e.fail("warm-up", fmt.Errorf("%s serves no stream", n.name))
		}
	}
	results := make([]outcome, poolStreams)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() {
			results[i] = s.stream(e, s.nodes[i%len(s.nodes)], fmt.Sprintf("%016x", 0xc0ffee00+i), "desk.example")
		})
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.r.add("worker w1 gets its notice")
		workers[0].signal(syscall.SIGUSR1)
		time.Sleep(noticeToEnd)
		e.r.add("worker w1 is gone")
		workers[0].kill()
	}
	all.Wait()
	count := map[outcome]int{}
	for _, o := range results {
		count[o]++
	}
	return e.verdict(count[shortButComplete] > 0, "%d streams: %d whole, %d broken off, %d ended as complete before their last event", len(results), count[whole], count[brokenOff], count[shortButComplete])
}

// outcome is how a stream ended at its client.
type outcome string

const (
	whole            outcome = "whole"
	brokenOff        outcome = "broken off"
	shortButComplete outcome = "ended as complete before its last event"
	refused          outcome = "refused"
)

// stream sends a request for a stream and checks what comes back.
func (s *system) stream(e env, n *node, id, host string) outcome {
	e.r.add("client: %s sent to %s", id, n.name)
	status, h, body, err := call(e.ctx, http.MethodPost, "http://"+n.front+"/chat/x", "hello "+id, ownPrompt(headers(host, id, 12000), id))
	events := strings.Count(body, "\n\n")
	o := whole
	switch {
	case status != http.StatusOK || h.Get(name("seal")) == "":
		o = refused
	case err != nil:
		o = brokenOff
	case events < streamEvents:
		o = shortButComplete
	}
	e.r.add("client: %s from %s: status %d, seal %q, %d of %d events, end of the body: %v: %s", id, n.name, status, h.Get(name("seal")), events, streamEvents, err, o)
	return o
}
