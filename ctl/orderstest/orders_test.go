package orderstest

import (
	"context"
	"sync"
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/ctl/client"
	"caperdrum.org/fake/standin"
)

const chatBody = `{"model":"chat","messages":[{"role":"user","content":"hello"}]}`

func (c *cluster) chat(ctx context.Context, cl *client.Client) (*client.Response, error) {
	return cl.Send(ctx, client.Request{Entry: c.entry, Path: "/v1/chat/completions", Customer: "desk", Body: []byte(chatBody)})
}

func isExpectedAnswer(a *client.Response) bool {
	text, err := client.ChatText(a.Body)
	return err == nil && text == standin.Text("user:hello\n", 16)
}

// traffic sends chat requests one after the other and counts their outcomes.
type traffic struct {
	mu                       sync.Mutex
	completed, refused, lost int
	stop                     chan struct{}
	done                     chan struct{}
}

func (c *cluster) startTraffic() *traffic {
	tr := &traffic{stop: make(chan struct{}), done: make(chan struct{})}
	cl := client.New()
	go func() {
		defer close(tr.done)
		for {
			select {
			case <-tr.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			a, err := c.chat(context.Background(), cl)
			tr.mu.Lock()
			switch {
			case err == nil && a.Complete && isExpectedAnswer(a):
				tr.completed++
			case err == nil && a.Verdict == verdict.NotRun:
				tr.refused++
			default:
				tr.lost++
			}
			tr.mu.Unlock()
		}
	}()
	return tr
}

func (tr *traffic) end() {
	close(tr.stop)
	<-tr.done
}

// TestOrdersOverProcesses runs a service through scaling, a rollout, a rollback and scaling to zero, with a
// fault injected in every step. The engines ignore fencing tokens.
func TestOrdersOverProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t)

	t.Log("one engine is warmed up and serves")
	c.apply("models = m@1\nscale = threshold\nmin_warm = 1\nidle_after = 4s\nload_timeout = 6s")
	c.waitHolding("m@1", 1)
	cl := client.New()
	c.eventually("a response arrives", func(ctx context.Context) bool {
		a, err := c.chat(ctx, cl)
		return err == nil && a.Complete && isExpectedAnswer(a)
	})

	t.Log("an engine that lost its model is loaded again")
	for _, e := range c.engines {
		post(t, e, "/v1/engine/forget")
	}
	c.waitHolding("m@1", 1)

	t.Log("the leader is killed while orders are in progress")
	c.apply("models = m@1\nscale = threshold\nmin_warm = 3\nidle_after = 4s\nload_timeout = 6s")
	c.eventually("an order is in progress", func(context.Context) bool { return c.busy() })
	killed := c.leader()
	c.kill(killed)
	c.waitHolding("m@1", engines)
	before := c.checkLogs()
	if before != 5 { // 1 at first, 1 after the loss, and 2 here, or 3 if the third engine kept nothing
		t.Logf("%d orders so far", before)
	}
	c.startControl(int(killed[len(killed)-1] - '0'))

	t.Log("an agent is killed between order and result, during a rollout under traffic")
	tr := c.startTraffic()
	c.apply("models = m@2\nload_timeout = 6s")
	killedAgent := -1
	c.eventually("an order is in progress", func(context.Context) bool {
		for i, st := range c.states() {
			if st.Busy {
				killedAgent = i
			}
		}
		return killedAgent >= 0
	})
	c.kill([]string{"agent-0", "agent-1", "agent-2"}[killedAgent])
	c.startAgent(killedAgent)
	c.waitHolding("m@2", engines)

	t.Log("a version that cannot be loaded is rolled back by a numbered change")
	c.apply("models = m@3\nload_timeout = 6s")
	c.eventually("the old version is back in the configuration", func(ctx context.Context) bool {
		cfg, err := c.admin.Config(ctx)
		return err == nil && cfg.Version == c.version+1
	})
	c.version++
	c.waitHolding("m@2", engines)
	tr.end()
	t.Logf("during both rollouts: %d complete, %d rejected as not run, %d lost", tr.completed, tr.refused, tr.lost)
	if tr.lost > 0 || tr.completed == 0 {
		t.Errorf("%d requests lost, %d complete", tr.lost, tr.completed)
	}

	t.Log("the weight store stalls; when it recovers, the loads are retried")
	post(t, c.store, "/stall?on=true")
	for _, e := range c.engines {
		post(t, e, "/v1/engine/forget")
	}
	c.eventually("a load is in progress", func(context.Context) bool { return c.busy() })
	post(t, c.store, "/stall?on=false")
	c.waitHolding("m@2", engines)

	t.Log("the service scales to zero; a request is rejected at once and triggers a warm-up")
	c.apply("models = m@2\nscale = threshold\nmin_warm = 0\nidle_after = 3s\nload_timeout = 6s")
	c.waitHolding("", engines)
	c.eventually("a request is rejected as not run, with Retry-After", func(ctx context.Context) bool {
		a, err := c.chat(ctx, cl)
		return err == nil && a.Verdict == verdict.NotRun && a.RetryAfter != ""
	})
	c.eventually("the service responds again", func(ctx context.Context) bool {
		a, err := c.chat(ctx, cl)
		return err == nil && a.Complete && isExpectedAnswer(a)
	})
	t.Logf("%d orders in total", c.checkLogs())
}
