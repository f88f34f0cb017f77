package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caperdrum.org/review/lab"
)

func init() { cases["cut-revoke"] = cutRevoke }

// rounds is how often the cut and the revocation are repeated.
const rounds = 4

// cutRevoke cuts a node off from the core for 7 s, during which a key is taken away. A caller with that key goes on
// sending at once, again and again. Later than revokeMs after the ack no request with the key must run.
func cutRevoke(l *lab.Lab, trouble bool) (bool, error) {
	if err := l.Start(3, 1, true); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{} // of the requests with the key, while the test looks
	var acked atomic.Pointer[time.Time]
	broken := 0
	_, err := l.StartWorker(&lab.Worker{ID: "i-desk-1", Service: "desk", Zone: "zone-1", OnRun: func(r lab.Run) {
		mu.Lock()
		defer mu.Unlock()
		at, mine := sentAt[r.ID]
		if a := acked.Load(); mine && a != nil && at.Sub(*a) > lab.RevokeMs*time.Millisecond {
			broken++
			l.Note("BROKEN: request %s, sent %.4f s after the ack, ran at %s for tenant %q", r.ID, at.Sub(*a).Seconds(), r.Worker, r.Tenant)
		}
	}})
	if err != nil {
		return false, err
	}
	if _, err := l.Put(document(5, `"key-one","key-two"`), l.Nodes[:3]...); err != nil {
		return false, err
	}
	if err := l.AwaitReady(); err != nil {
		return false, err
	}
	x := l.Nodes[3]
	version := 5
	for round := range rounds {
		if err := lab.Wait(15*time.Second, func() error {
			status, err := ask(x, lab.Request{ID: fmt.Sprintf("w%d-%d", round, time.Now().UnixNano()), Host: "desk.example", Path: "/confirm/x", Key: "key-one", Body: "lot", DeadlineMs: 2500})
			if err == nil && status != 200 {
				err = fmt.Errorf("status %d", status)
			}
			return err
		}); err != nil {
			return false, err
		}
		acked.Store(nil)
		if trouble {
			l.Net.Cut(x, true)
			l.Note("%s is cut off from the voters", x.Name)
		}
		cutAt := time.Now()
		time.Sleep(500 * time.Millisecond)
		version++
		at, err := l.Put(document(version, `"key-two"`), l.Nodes[:3]...)
		if err != nil {
			return false, err
		}
		acked.Store(&at)
		time.Sleep(time.Until(cutAt.Add(6500 * time.Millisecond)))
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var counts [600]atomic.Int64
		for i := range 24 {
			callers.Go(func() { hammer(x, fmt.Sprintf("r%d-%d", round, i), stop, &counts, &mu, sentAt) })
		}
		time.Sleep(time.Until(cutAt.Add(7 * time.Second)))
		l.Net.Cut(x, false)
		l.Note("the cut has ended")
		time.Sleep(2 * time.Second)
		close(stop)
		callers.Wait()
		for s := range counts {
			if n := counts[s].Load(); n > 0 {
				l.Note("clients with the key that was taken away: %d answers with status %d", n, s)
			}
		}
		version++
		if _, err := l.Put(document(version, `"key-one","key-two"`), l.Nodes[:3]...); err != nil {
			return false, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken > 0, nil
}

func hammer(n *lab.Node, prefix string, stop chan struct{}, counts *[600]atomic.Int64, mu *sync.Mutex, sentAt map[string]time.Time) {
	var c net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", n.Front, time.Second); err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%s-%d", prefix, i)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		c.SetDeadline(time.Now().Add(3 * time.Second))
		r := lab.Request{ID: id, Host: "desk.example", Path: "/confirm/x", Key: "key-one", Body: "lot", DeadlineMs: 2500}
		_, err := c.Write(r.Encode())
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(br, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			counts[resp.StatusCode].Add(1)
			if resp.Close {
				err = io.EOF
			}
		}
		if err != nil {
			c.Close()
			c = nil
		}
	}
}
