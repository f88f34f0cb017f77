package e2e

import (
	"context"
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/ctl/client"
	"caperdrum.org/e2e/harness"
)

// TestNoQuorum kills a majority of the control processes. Keyed calls with long
// deadlines are refused as not run, with a Retry-After, far before their deadline.
// Once there is a quorum again, a retry runs once.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	s := harness.New(t, harness.Options{})
	c := client.New()
	const patience = time.Minute
	body := `{"lot":"no-quorum"}`
	send := func() (*client.Response, time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		started := time.Now()
		a, err := c.Send(ctx, client.Request{Entry: s.Entries[0].Address, Customer: harness.Customer, Timeout: patience,
			Path: "/v1/services/" + harness.Desk + "/confirm", Key: "no-quorum", Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		return a, time.Since(started)
	}
	harness.Together(s.Controls[1:], func(c *harness.Control) { c.Kill() })
	for range 3 {
		a, took := send()
		t.Logf("%d %s, come back after %s s: %s", a.Status, a.Verdict, a.RetryAfter, took)
		if a.Complete || a.Verdict != verdict.NotRun || a.RetryAfter == "" || took > patience/2 {
			t.Fatalf("without a quorum: %+v after %s", a, took)
		}
	}
	harness.Together(s.Controls[1:], func(c *harness.Control) { c.Start() })
	s.Leader()
	harness.Eventually(t, func() string {
		if a, _ := send(); !a.Complete {
			return "a whole answer"
		}
		return ""
	})
	if n := s.Runs.Of(body); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
