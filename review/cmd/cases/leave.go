package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperdrum.org/review/lab"
)

func init() { cases["late-beat"] = lateBeatAfterLeaving }

const (
	drainMs     = 2 * time.Second
	cutFor      = 5 * time.Second
	heldUpAfter = 3 * time.Second // how long after the cut the held-up heartbeat arrives
)

// lateBeatAfterLeaving starts a worker behind a cut between it and control. Its heartbeats are lost but for the last,
// which is held up by the cut. When the cut has ended, the worker is taken away: it sends that it leaves, which is
// acknowledged, and the held-up heartbeat arrives after that. Later than drainMs after the ack no request must reach it.
func lateBeatAfterLeaving(l *lab.Lab, trouble bool) (bool, error) {
	if err := l.Start(3, 1, false); err != nil {
		return false, err
	}
	for i := range 5 {
		if _, err := l.StartWorker(&lab.Worker{ID: fmt.Sprintf("i-desk-%d", i+1), Service: "desk", Zone: fmt.Sprint("zone-", i%2+1)}); err != nil {
			return false, err
		}
	}
	if _, err := l.Put(document(5, `"key-one"`), l.Nodes...); err != nil {
		return false, err
	}
	if err := l.AwaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acked time.Time
	reached, late := 0, 0
	arrival := func(r lab.Run) {
		mu.Lock()
		defer mu.Unlock()
		reached++
		if !acked.IsZero() && r.At.Sub(acked) > drainMs {
			late++
			l.Note("BROKEN: request %s reaches worker %s %.2f s after the ack", r.ID, r.Worker, r.At.Sub(acked).Seconds())
			return
		}
		l.Note("request %s reaches worker %s", r.ID, r.Worker)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var serial, served atomic.Int64
	for i := range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("%016x", serial.Add(1))
				status, err := ask(l.Nodes[i%len(l.Nodes)], lab.Request{ID: id, Host: "desk.example", Path: "/confirm/x", Key: "key-one", Body: "lot", DeadlineMs: 2500})
				if status == http.StatusOK {
					served.Add(1)
				} else {
					l.Note("client: request %s: status %d, error %v", id, status, err)
				}
			}
		})
	}
	defer callers.Wait()
	defer close(stop)
	time.Sleep(3 * time.Second)

	cutAt := time.Now()
	l.Note("worker i-desk-6 is cut off from control: %t", trouble)
	time.Sleep(time.Second)
	w, err := l.StartWorker(&lab.Worker{ID: "i-desk-6", Service: "desk", Zone: "zone-1", Silent: true, OnRun: arrival})
	if err != nil {
		return false, err
	}
	l.Note("worker i-desk-6 starts")
	for k := 0; time.Since(cutAt) < cutFor-time.Second; k++ { // the next node is called after a second without an answer
		n := l.Nodes[k%len(l.Nodes)]
		body := w.Beat()
		if trouble {
			l.Note("a heartbeat of i-desk-6 to %s is lost", n.Name)
		} else if _, err := post(n, lab.Name("beat", "id", w.ID), body); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	n, body := l.Nodes[1], w.Beat()
	var held sync.WaitGroup
	if trouble {
		l.Note("a heartbeat of i-desk-6 to %s is held up by the cut", n.Name)
		held.Go(func() {
			time.Sleep(time.Until(cutAt.Add(cutFor + heldUpAfter)))
			status, err := post(n, lab.Name("beat", "id", w.ID), body)
			l.Note("the held-up heartbeat of i-desk-6 arrives at %s: status %d, error %v", n.Name, status, err)
		})
	} else if _, err := post(n, lab.Name("beat", "id", w.ID), body); err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	l.Note("the cut has ended; worker i-desk-6 leaves")
	by := -1
	for k := 0; k < 5 && by < 0; k++ {
		n := (2 + k) % len(l.Nodes)
		if status, err := post(l.Nodes[n], lab.Name("leave", "id", w.ID), ""); err == nil && status/100 == 2 {
			by = n
		} else {
			l.Note("the leaving of i-desk-6 is not acknowledged by %s: status %d, error %v", l.Nodes[n].Name, status, err)
			time.Sleep(time.Second)
		}
	}
	if by < 0 {
		held.Wait()
		l.Note("nothing was acknowledged, so that the rule does not bind")
		return false, nil
	}
	mu.Lock()
	acked = time.Now()
	l.Note("%s acknowledges that i-desk-6 leaves", l.Nodes[by].Name)
	mu.Unlock()
	held.Wait()
	time.Sleep(5 * time.Second)
	w.Stop()
	l.Note("worker i-desk-6 ends")
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	l.Note("%d requests reached i-desk-6, %d of them later than drainMs after the ack; %d requests were served in all", reached, late, served.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}

// post sends a call of a worker to a node and returns the status.
func post(n *lab.Node, path, body string) (int, error) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := c.Post("http://"+n.Control+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}
