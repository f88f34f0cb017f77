package main

import (
	"context"

	"net/http"

	"time"
)

const (
	// lossAfter is how long after the first start the first seed is lost.
	lossAfter = 300 * time.Millisecond
	// replacedAfter is when its empty successor starts (fleetbench kinds: replace_core, x s (1)).
	replacedAfter = time.Second
	// operatorTries is how long the operator sends the first desired state. ackMs is 4,000.
	operatorTries = 30 * time.Second
)

// founderCase: the first of the seeds is lost for good right after the first start, and an empty machine takes its place.
func founderCase(e env) int {
	s, err := newSystem(e.r, []bool{true, true, true, true, false, false})
	if err != nil {
		return e.fail("addresses", err)
	}
	defer s.stop()
	if err := s.startAll(); err != nil {
		return e.fail("start", err)
	}
	if e.trouble {
		time.Sleep(lossAfter)
		lost := s.nodes[0]
		e.r.add("%s at %s is lost for good", lost.name, lost.ip)
		lost.p.kill()
		time.Sleep(replacedAfter)
		seeds := []string{s.nodes[1].control, s.nodes[2].control, s.nodes[3].control}
		successor := s.addNode(len(s.nodes), true, seeds, false)
		successor.fields["zone"] = lost.fields["zone"]
		e.r.add("%s starts at %s with an empty disk", successor.name, successor.ip)
		if err := s.start(successor); err != nil {
			return e.fail("start", err)
		}
	}
	ctx, cancel := context.WithTimeout(e.ctx, operatorTries)
	defer cancel()
	took, acked := s.put(ctx, document(4))
	sleep(e.ctx, 2*time.Second) // each machine learns of it within applyMs
	running, disks, ready := 0, 0, 0
	for _, n := range s.nodes {
		if !n.p.running() {
			continue
		}
		running++
		if n.disk {
			disks++
		}
		if n.isReady() {
			ready++
		}
	}
	status, _, body, err := call(shortly(e.ctx), http.MethodPost, "http://"+s.nodes[4].front+"/confirm/x", "order", headers("desk.example", "00000000000c0de5", 2500))
	e.r.add("client: 00000000000c0de5 at %s: status %d %q %v", s.nodes[4].name, status, body, err)
	return e.verdict(!acked, "first desired state acknowledged: %t, after %s; %d machines run, %d of them with a disk; %d are ready", acked, took.Round(10*time.Millisecond), running, disks, ready)
}

// shortly returns a context for a call that should be answered at once.
func shortly(ctx context.Context) context.Context {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	context.AfterFunc(ctx, cancel)
	return ctx
}
