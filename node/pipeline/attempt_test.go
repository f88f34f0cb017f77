package pipeline

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

const (
	quick  = 10 * time.Millisecond
	notRun = verdict.NotRun
)

// script responds to the n-th attempt with the n-th entry, and to later ones with the last.
type script func(ctx context.Context) (*dispatch.Response, error)

func scripted(list ...script) *fakeGate {
	return &fakeGate{respond: func(ctx context.Context, n int, _ *routing.Endpoint, _ dispatch.Call) (*dispatch.Response, error) {
		return list[min(n, len(list)-1)](ctx)
	}}
}

func good(ctx context.Context) (*dispatch.Response, error)   { return after(ctx, quick, 200, "good") }
func err500(ctx context.Context) (*dispatch.Response, error) { return after(ctx, quick, 500, "oops") }
func silent(ctx context.Context) (*dispatch.Response, error) { return after(ctx, time.Hour, 200, "") }
func truncated(ctx context.Context) (*dispatch.Response, error) {
	return &dispatch.Response{Status: 200, Body: &cutBody{ctx: ctx, data: []byte("go"), end: errTruncated()}}, nil
}
func tooLong(ctx context.Context) (*dispatch.Response, error) {
	return &dispatch.Response{Status: 200, Body: &cutBody{ctx: ctx, data: make([]byte, maxResponse+1), end: io.EOF}}, nil
}
func refusal(v verdict.Verdict, c verdict.Code) script {
	return func(context.Context) (*dispatch.Response, error) { return nil, verdict.New(v, c, "refused") }
}

// TestAttempts lists how attempts can end, how many are made, and how the call ends.
func TestAttempts(t *testing.T) {
	lost := refusal(verdict.MayHaveRun, verdict.CodeUpstreamFailed)
	full := refusal(notRun, verdict.CodeOverloaded)
	leaving := refusal(notRun, verdict.CodeUpstreamLeaving)
	rows := []struct {
		name       string
		repeatable bool
		budget     int
		script     []script
		attempts   int
		status     int // zero for an error
		verdict    verdict.Verdict
	}{
		{"first succeeds", true, 100, []script{good}, 1, 200, verdict.Ran},
		{"5xx elsewhere", true, 100, []script{err500, good}, 2, 200, verdict.Ran},
		{"5xx everywhere", true, 100, []script{err500}, 4, 500, verdict.Ran},
		{"5xx, not repeatable", false, 100, []script{err500, good}, 1, 500, verdict.Ran},
		{"truncated response", true, 100, []script{truncated, good}, 2, 200, verdict.Ran},
		{"truncated response, not repeatable", false, 100, []script{truncated, good}, 1, 0, verdict.Ran},
		{"an oversized response is not truncated", false, 100, []script{tooLong}, 1, 0, verdict.Ran},
		{"lost", true, 100, []script{lost, good}, 2, 200, verdict.Ran},
		{"lost, not repeatable", false, 100, []script{lost, good}, 1, 0, verdict.MayHaveRun},
		{"full, not repeatable", false, 100, []script{full, good}, 2, 200, verdict.Ran},
		{"full everywhere", true, 100, []script{full}, 3, 0, notRun},
		{"lost, then full", true, 100, []script{lost, full}, 3, 0, verdict.MayHaveRun},
		{"no budget", true, 0, []script{lost, good}, 1, 0, verdict.MayHaveRun},
		{"leaving costs no budget", false, 0, []script{leaving, good}, 2, 200, verdict.Ran},
		{"silent", true, 100, []script{silent, good}, 2, 200, verdict.Ran},
		{"silent, not repeatable", false, 100, []script{silent, good}, 1, 0, verdict.MayHaveRun},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := scripted(row.script...)
				sv := serviceOf("price-list", optext.Plain, row.repeatable)
				sv.RetryPercent = row.budget
				s := newFake(g, 3, sv)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				a, err := s.Call(ctx, callOf(sv, time.Second), sv)
				synctest.Wait()
				if got := g.attempts(); got != row.attempts {
					t.Errorf("%d attempts, want %d", got, row.attempts)
				}
				if err == nil {
					if a.Status != row.status {
						t.Errorf("status %d, want %d", a.Status, row.status)
					}
					return
				}
				if e := verdict.From(err); row.status != 0 || e.Verdict != row.verdict || e.RetryAfter <= 0 {
					t.Errorf("%v, retry after %v; want verdict %v", e, e.RetryAfter, row.verdict)
				}
			})
		})
	}
}

// TestHedge checks that an attempt far slower than usual is hedged at another endpoint, that the loser is
// abandoned, and that hedges stay within their budget.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 1000
		var abandoned atomic.Int64
		g := &fakeGate{}
		g.respond = func(ctx context.Context, n int, _ *routing.Endpoint, _ dispatch.Call) (*dispatch.Response, error) {
			if n%20 != 19 {
				return good(ctx)
			}
			a, err := after(ctx, 50*quick, 200, "late")
			if err != nil {
				abandoned.Add(1)
			}
			return a, err
		}
		sv := serviceOf("encoder", optext.Encoder, true)
		s := newFake(g, 4, sv)
		slow := 0
		for range calls {
			began := time.Now()
			if _, err := s.Call(t.Context(), callOf(sv, time.Minute), sv); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if time.Since(began) > 10*quick {
				slow++
			}
		}
		extra := g.attempts() - calls
		if slow > 5 || extra > calls*sv.HedgePercent/100+10 || int(abandoned.Load()) < extra-5 {
			t.Errorf("%d of %d calls slow, %d extra attempts, %d abandoned", slow, calls, extra, abandoned.Load())
		}
	})
}

// TestEstimatesFollowSlowService checks that the estimates follow when a whole service becomes ten times slower,
// so that attempts are no longer abandoned at the old delay.
func TestEstimatesFollowSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := quick
		g := &fakeGate{}
		g.respond = func(ctx context.Context, _ int, _ *routing.Endpoint, _ dispatch.Call) (*dispatch.Response, error) {
			return after(ctx, took, 200, "good")
		}
		sv := serviceOf("encoder", optext.Encoder, true)
		sv.RetryPercent = 10
		s := newFake(g, 4, sv)
		run := func(n int) {
			for range n {
				if _, err := s.Call(t.Context(), callOf(sv, time.Minute), sv); err != nil {
					t.Fatal(err)
				}
			}
		}
		run(500)
		took = 10 * quick
		before := g.attempts()
		run(500)
		if extra := g.attempts() - before - 500; extra > 150 {
			t.Errorf("%d extra attempts for 500 calls", extra)
		}
	})
}

// stagesOf returns a pipeline that runs the services one after the other.
func stagesOf(services ...*optext.Service) *optext.Pipeline {
	p := &optext.Pipeline{Name: "quote", RefuseLate: true}
	for i, sv := range services {
		st := &optext.Stage{Name: sv.Name, Service: sv.Name}
		if i > 0 {
			st.After = []string{services[i-1].Name}
		}
		p.Stages = append(p.Stages, st)
	}
	return p
}

// TestVerdictOfPipeline checks that a request is NotRun only if no stage ran.
func TestVerdictOfPipeline(t *testing.T) {
	first := serviceOf("first", optext.Plain, true)
	second := serviceOf("second", optext.Plain, true)
	for name, row := range map[string]struct {
		first, second script
		want          verdict.Verdict
	}{
		"first refused":       {refusal(notRun, verdict.CodeOverloaded), good, notRun},
		"second refused":      {good, refusal(notRun, verdict.CodeOverloaded), verdict.Ran},
		"first may have run":  {refusal(verdict.MayHaveRun, verdict.CodeUpstreamFailed), good, verdict.MayHaveRun},
		"second may have run": {good, refusal(verdict.MayHaveRun, verdict.CodeUpstreamFailed), verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGate{respond: func(ctx context.Context, _ int, _ *routing.Endpoint, c dispatch.Call) (*dispatch.Response, error) {
					if c.Service == "first" {
						return row.first(ctx)
					}
					return row.second(ctx)
				}}
				s := newFake(g, 2, first, second)
				_, err := s.Run(t.Context(), requestOf(stagesOf(first, second), time.Second, first, second))
				synctest.Wait()
				if err == nil || verdict.Of(err) != row.want {
					t.Errorf("%v, want %v", err, row.want)
				}
			})
		})
	}
}

func requestOf(p *optext.Pipeline, timeout time.Duration, services ...*optext.Service) *Request {
	return &Request{ID: "r", Customer: &optext.Customer{Name: "c"}, Pipeline: p, Config: configOf(services...),
		Deadline: time.Now().Add(timeout), Input: Input{Query: "q", Raw: []byte(`{"query":"q"}`)}}
}

// TestDeadlineBudget checks, with known stage times, that a request that cannot finish in time is refused
// before any stage runs, that one that falls behind is ended between stages, and that refuse_late = false
// disables both.
func TestDeadlineBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := serviceOf("first", optext.Plain, true), serviceOf("second", optext.Plain, true)
		for _, sv := range []*optext.Service{first, second} {
			sv.HedgePercent, sv.RetryPercent = 0, 0
		}
		slow := time.Duration(0)
		g := &fakeGate{respond: func(ctx context.Context, _ int, _ *routing.Endpoint, c dispatch.Call) (*dispatch.Response, error) {
			if c.Service == "first" {
				return after(ctx, 10*quick+slow, 200, "good")
			}
			return after(ctx, 20*quick, 200, "good")
		}}
		p := stagesOf(first, second)
		s := newFake(g, 2, first, second)
		run := func(timeout time.Duration) (attempts int, took time.Duration, err error) {
			before, began := g.attempts(), time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			res, err := s.Run(ctx, requestOf(p, timeout, first, second))
			took = time.Since(began)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			synctest.Wait()
			return g.attempts() - before, took, err
		}
		for range 2 * minSamples {
			if _, _, err := run(time.Second); err != nil {
				t.Fatal(err)
			}
		}
		run(15 * quick) // the probe that checks whether the estimates still hold
		attempts, took, err := run(15 * quick)
		e := verdict.From(errOrNil(err))
		if attempts != 0 || took != 0 || e.Verdict != notRun || e.Code != verdict.CodeDeadlineUnreachable || e.RetryAfter <= 0 {
			t.Errorf("hopeless from the start: %d attempts, %v after %v", attempts, err, took)
		}
		slow = 10 * quick
		time.Sleep(time.Second)
		attempts, took, err = run(35 * quick)
		if e = verdict.From(errOrNil(err)); attempts != 1 || took >= 35*quick || e.Verdict != verdict.Ran || e.Code != verdict.CodeDeadlineUnreachable {
			t.Errorf("fell behind: %d attempts, %v after %v", attempts, err, took)
		}
		p.RefuseLate = false
		if attempts, took, _ = run(35 * quick); attempts != 2 || took != 35*quick {
			t.Errorf("with refuse_late off: %d attempts, ended after %v", attempts, took)
		}
	})
}

func errOrNil(err error) error {
	if err == nil {
		return errors.New("no error")
	}
	return err
}

// TestCallersFieldsAreKept checks that a chat request that follows earlier stages keeps the caller's unknown
// fields.
func TestCallersFieldsAreKept(t *testing.T) {
	in := Input{Raw: []byte(`{"query":"q","top_k":3,"temperature":0.5,"stream_options":{"include_usage":true},"messages":[]}`)}
	body, err := mergeCallerFields(in, chatRequest{Model: "m", Messages: []message{{"user", "q"}}, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"temperature":0.5`, `"include_usage":true`, `"content":"q"`, `"stream":true`} {
		if !strings.Contains(string(body), want) {
			t.Errorf("%s lacks %s", body, want)
		}
	}
	if strings.Contains(string(body), "top_k") {
		t.Errorf("%s contains a field of the pipeline's input", body)
	}
}

// TestErrorResponsesReduceTraffic checks that one of four upstreams that returns 500 at once loses
// its traffic, instead of attracting it as the fastest one.
func TestErrorResponsesReduceTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed, bad := 0, 0
		g := &fakeGate{}
		g.respond = func(ctx context.Context, _ int, e *routing.Endpoint, _ dispatch.Call) (*dispatch.Response, error) {
			if e.Member.ID == "s-0" {
				failed++
				return after(ctx, time.Millisecond, 500, "{}")
			}
			return after(ctx, 50*time.Millisecond, 200, "{}")
		}
		sv := serviceOf("s", optext.Plain, true)
		sv.RoutingPolicy, sv.RetryPercent, sv.HedgePercent = "predicted", 10, 0
		s := newFake(g, 4, sv)
		for range 500 {
			a, err := s.exchange(t.Context(), &callSpec{Call: callOf(sv, time.Second), service: sv, size: 100})
			if err != nil || a.status != 200 {
				bad++
			}
		}
		t.Logf("%d of 500 calls failed; the failing upstream got %d attempts", bad, failed)
		if bad > 0 || failed > 50 {
			t.Errorf("%d of 500 calls failed; the failing upstream got %d attempts", bad, failed)
		}
	})
}
