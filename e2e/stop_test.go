package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/ctl/client"
	"caperdrum.org/e2e/harness"
	"caperdrum.org/fake/standin"
)

// TestRollingRestart stops every process, one by one, under load: no request may be
// lost, refused, run twice or cut, and each process exits with status 0.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{Staged: true})
	load := s.StartStrictLoad()
	load.Await(phase)
	for _, p := range s.Processes() {
		if status := p.Stop(); status != 0 {
			t.Errorf("%s: exit status %d", p.Name, status)
		}
		load.Await(phase / 4)
		p.Start()
		s.AwaitVoters()
		s.AwaitReady()
		load.Await(phase / 4)
	}
	load.Finish()
	checkNoUnknownOutcome(t, load)
}

// TestStopWithWorkInFlight stops each role during a long confirmation and a long
// stream: both must complete.
func TestStopWithWorkInFlight(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{Desks: 1, Engines: 1})
	desk, engine := s.Agents[0], s.Agents[1]
	stops := map[string]func() *harness.Process{
		"entry":  func() *harness.Process { return s.Entries[0].Process },
		"desk":   func() *harness.Process { return desk.Process },
		"engine": func() *harness.Process { return engine.Process },
		"leader": func() *harness.Process { return s.Leader().Process },
	}
	for role, pick := range stops {
		confirming, streaming := desk.Upstream.Slow(longWork), engine.Upstream.Slow(longWork)
		confirmed := inFlight(t, confirming, client.Request{Entry: s.Entries[0].Address, Path: "/v1/services/" + harness.Desk + "/confirm", Key: "key-" + role, Body: []byte(role)})
		streamed := inFlight(t, streaming, client.Request{Entry: s.Entries[0].Address, Path: "/v1/chat/completions",
			Body: fmt.Appendf(nil, `{"model":"desk-chat","stream":true,"messages":[{"role":"user","content":%q}]}`, role)})
		p := pick()
		if status := p.Stop(); status != 0 {
			t.Errorf("%s: exit status %d", p.Name, status)
		}
		if a := <-confirmed; a == nil || !a.Complete || s.Runs.Of(role) != 1 {
			t.Errorf("confirmation while %s stopped: %+v, %d runs", p.Name, a, s.Runs.Of(role))
		}
		a := <-streamed
		if a == nil || !a.Complete {
			t.Errorf("stream while %s stopped: %+v", p.Name, a)
		} else if text, err := client.ChatText(a.Body); err != nil || text != standin.Text("user:"+role+"\n", harness.Tokens) {
			t.Errorf("stream while %s stopped: %q, %v", p.Name, text, err)
		}
		p.Start()
		s.AwaitVoters()
		s.AwaitReady()
	}
}

const (
	longWork  = 3 * time.Second
	hungAfter = 90 * time.Second // ends a hung test
	sendPause = 100 * time.Millisecond
)

// inFlight sends the request until the upstream has begun with it, and returns
// where its answer comes. An entry that has not heard yet of an agent that just
// joined refuses it as not run; any other answer before the beginning fails.
func inFlight(t *testing.T, began <-chan string, r client.Request) <-chan *client.Response {
	t.Helper()
	hung := time.After(hungAfter)
	for {
		answered := sendAsync(t, r)
		select {
		case <-began:
			return answered
		case a := <-answered:
			if a == nil || a.Verdict != verdict.NotRun {
				t.Fatalf("answered before the upstream began: %+v", a)
			}
			time.Sleep(sendPause)
		case <-hung:
			t.Fatal("the upstream never began")
		}
	}
}

func sendAsync(t *testing.T, r client.Request) <-chan *client.Response {
	out := make(chan *client.Response, 1)
	r.Customer, r.Timeout = harness.Customer, 10*longWork
	go func() {
		c := client.New()
		defer c.Close()
		a, err := c.Send(context.Background(), r)
		if err != nil {
			t.Error(err)
		}
		out <- a
	}()
	return out
}

// TestSecondStart starts a control process a second time while the first
// runs: the second must end without touching the data folder.
func TestSecondStart(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	load := s.StartLoad()
	load.Await(phase)
	first := s.Leader()
	for range 5 {
		second := s.Twin(first.Process)
		second.Start()
		if status := second.Wait(); status != 1 {
			t.Errorf("exit status %d of a second start", status)
		}
		harness.MustHold(t, second.Log(), "data folder", "in use")
		load.Await(phase / 10)
	}
	first.Kill()
	first.Start()
	s.AwaitVoters()
	load.Await(phase)
	load.Finish()
	checkNoUnknownOutcome(t, load)
}
