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

// TestRollingRestart stops and restarts all processes one by one under load. No request may be lost, refused,
// repeated or truncated, and each process must exit with status 0.
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
	noUnknownOutcomes(t, load)
}

// TestStopWithWorkInFlight stops a process of each role while a confirmation and a stream are in progress.
// Both must complete.
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
		confirming, streaming := desk.Upstream.SetDelay(longWork), engine.Upstream.SetDelay(longWork)
		confirmed := inFlight(t, confirming, client.Request{Entry: s.Entries[0].Address, Path: "/v1/services/" + harness.Desk + "/confirm", Key: "key-" + role, Body: []byte(role)})
		streamed := inFlight(t, streaming, client.Request{Entry: s.Entries[0].Address, Path: "/v1/chat/completions",
			Body: fmt.Appendf(nil, `{"model":"desk-chat","stream":true,"messages":[{"role":"user","content":%q}]}`, role)})
		p := pick()
		if status := p.Stop(); status != 0 {
			t.Errorf("%s: exit status %d", p.Name, status)
		}
		if a := <-confirmed; a == nil || !a.Complete || s.Runs.Count(role) != 1 {
			t.Errorf("confirmation while %s stopped: %+v, %d runs", p.Name, a, s.Runs.Count(role))
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
	longWork    = 3 * time.Second
	waitTimeout = 90 * time.Second // timeout of waits that should always succeed
	sendPause   = 100 * time.Millisecond
)

// inFlight sends the request until the upstream has begun to run it, and returns the channel of its answer.
// An entry that doesn't know a new agent yet answers "not run"; any other answer before the upstream began
// fails the test.
func inFlight(t *testing.T, began <-chan string, r client.Request) <-chan *client.Response {
	t.Helper()
	hung := time.After(waitTimeout)
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

// TestSecondStart starts a control process a second time while the first one is running. The second one must
// exit without touching the data folder.
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
		harness.MustContain(t, second.Log(), "data folder", "in use")
		load.Await(phase / 10)
	}
	first.Kill()
	first.Start()
	s.AwaitVoters()
	load.Await(phase)
	load.Finish()
	noUnknownOutcomes(t, load)
}
