package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/gate"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/settings"
)

// upstream counts the runs by request body.
type upstream struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	free chan struct{} // closed at cleanup to release hanging requests
}

const streamed = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"

func newUpstream(t *testing.T) *upstream {
	u := &upstream{runs: map[string]int{}, free: make(chan struct{})}
	u.Server = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(func() {
		close(u.free)
		u.Close()
	})
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.runs[string(body)]++
	u.mu.Unlock()
	switch r.URL.Path {
	case "/redirect":
		http.Redirect(w, r, "/stream", http.StatusTemporaryRedirect)
	case "/empty":
		w.WriteHeader(http.StatusNoContent)
	case "/cut":
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "short")
	case "/hang":
		select {
		case <-r.Context().Done():
		case <-u.free:
		}
	case "/echo":
		w.Header().Set("Etag", r.URL.RawQuery)
		w.Header().Set("Set-Cookie", "secret=1")
		io.WriteString(w, r.Header.Get("Accept")+"|"+r.Header.Get("Cookie")+"|"+r.URL.Path)
	default:
		w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range strings.SplitAfter(streamed, "\n\n") {
			io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
	}
}

func (u *upstream) ran(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[body]
}

func (u *upstream) wait(t *testing.T, body string) {
	for u.ran(body) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func newSync() *configsync.Service {
	return configsync.New(configsync.Params{Settings: &settings.Settings{Peers: settings.Peers{Control: []string{"127.0.0.1:1"}}}, Log: logr.Discard(), Ring: timeline.NewRing("p", "vm", 16)})
}

func startGate(t *testing.T, u *upstream) (*gate.Service, uint64) {
	return startGraceful(t, u, 0)
}

func startGraceful(t *testing.T, u *upstream, grace time.Duration) (*gate.Service, uint64) {
	set := &settings.Settings{Agent: settings.AgentRole{Listen: "127.0.0.1:0", Upstream: u.Listener.Addr().String(),
		KeepAnswers: time.Minute, KeepAnswerBytes: 1 << 20, MaxAnswerBytes: 1 << 20, LeaveGrace: grace}}
	sync := newSync()
	g := gate.New(gate.Params{Settings: set, Log: logr.Discard(), Ring: timeline.NewRing("gate", "vm", 64), Sync: sync})
	if err := g.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.Stop(ctx)
	})
	return g, sync.Self().Incarnation
}

func endpoint(address string, incarnation uint64) *routing.Endpoint {
	return &routing.Endpoint{Member: wire.Member{ID: "gate", Gate: address, Incarnation: incarnation}}
}

func newDispatch() *dispatch.Service {
	return dispatch.New(dispatch.Params{Ring: timeline.NewRing("entry", "vm", 64), Sync: newSync()})
}

func newCall(path, body string) dispatch.Call {
	return dispatch.Call{Attempt: wire.NewAttemptID(), Stage: "s", Service: "s", Customer: "c", Share: 1, Method: "POST", Path: path,
		Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
}

// do makes a call and reads the response to the end.
func do(ctx context.Context, e *routing.Endpoint, c dispatch.Call) (string, *dispatch.Response, error) {
	a, err := newDispatch().Do(ctx, e, c)
	if err != nil {
		return "", nil, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), a, err
}

// The connection breaks after a number of bytes, in either direction. The caller then gets the complete
// response or a correct verdict.
func TestConnectionCutAtEveryOffset(t *testing.T) {
	u := newUpstream(t)
	g, incarnation := startGate(t, u)
	const requestBytes, responseBytes = 700, 1100
	complete := 0
	try := func(name string, at cut) {
		r := newRelay(t, g.Address(), at)
		defer r.listener.Close()
		got, _, err := do(context.Background(), endpoint(r.address(), incarnation), newCall("/stream", name))
		runs := u.ran(name)
		switch {
		case err == nil && (got != streamed || runs != 1):
			t.Errorf("%s: response %q after %d runs", name, got, runs)
		case err == nil:
			complete++
		case verdict.Of(err) == verdict.NotRun && runs != 0:
			t.Errorf("%s: reported as not run, but ran %d times: %v", name, runs, err)
		case verdict.Of(err) == verdict.Ran && runs != 1, runs > 1:
			t.Errorf("%s: ran %d times: %v", name, runs, err)
		case strings.HasPrefix(name, "down") && verdict.Of(err) != verdict.NotRun:
			t.Errorf("%s: the response could have been recovered: %v", name, err)
		}
	}
	step := 7
	for at := 0; at < responseBytes; at += step {
		try(fmt.Sprint("down ", at), cut{up: -1, down: at})
	}
	for at := 0; at < requestBytes; at += step {
		try(fmt.Sprint("up ", at), cut{up: at, down: -1})
	}
	if complete < responseBytes/step {
		t.Errorf("%d responses were complete", complete)
	}
}

func TestVerdictOfAFailedCall(t *testing.T) {
	u := newUpstream(t)
	g, incarnation := startGate(t, u)
	old, oldIncarnation := startGate(t, u)
	_ = old
	closed := newRelay(t, g.Address())
	closed.listener.Close()
	cases := []struct {
		name    string
		e       *routing.Endpoint
		path    string
		budget  time.Duration
		verdict verdict.Verdict
		code    verdict.Code
		runs    int
	}{
		{"gate unreachable", endpoint(closed.address(), incarnation), "/stream", time.Minute, verdict.NotRun, verdict.CodeNoEndpoint, 0},
		{"gate restarted before", endpoint(g.Address(), oldIncarnation), "/stream", time.Minute, verdict.NotRun, verdict.CodeIncarnationChanged, 0},
		{"deadline passed", endpoint(g.Address(), incarnation), "/stream", -time.Second, verdict.NotRun, verdict.CodeDeadlineUnreachable, 0},
		{"path not absolute", endpoint(g.Address(), incarnation), "@127.0.0.1:1/", time.Minute, verdict.NotRun, verdict.CodeInvalidRequest, 0},
		{"upstream truncates", endpoint(g.Address(), incarnation), "/cut", time.Minute, verdict.Ran, verdict.CodeAnswerCut, 1},
		{"deadline while running", endpoint(g.Address(), incarnation), "/hang", 300 * time.Millisecond, verdict.MayHaveRun, verdict.CodeDeadlineExceeded, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := newCall(c.path, c.name)
			call.Deadline = time.Now().Add(c.budget)
			got, _, err := do(context.Background(), c.e, call)
			if err == nil {
				t.Fatalf("response %q, want an error", got)
			}
			v := verdict.From(err)
			if v.Verdict != c.verdict || v.Code != c.code || u.ran(c.name) != c.runs {
				t.Errorf("%v, ran %d times; want %s %s, %d runs", v, u.ran(c.name), c.verdict, c.code, c.runs)
			}
		})
	}
}

func TestAnswersPassUnchanged(t *testing.T) {
	u := newUpstream(t)
	g, incarnation := startGate(t, u)
	e := endpoint(g.Address(), incarnation)
	got, a, err := do(context.Background(), e, newCall("/redirect", "redirect"))
	if err != nil || a.Status != http.StatusTemporaryRedirect || a.Header.Get("Location") != "/stream" || u.ran("redirect") != 1 {
		t.Errorf("redirect: %q %+v %v, %d runs", got, a, err, u.ran("redirect"))
	}
	got, a, err = do(context.Background(), e, newCall("/empty", "empty"))
	if err != nil || a.Status != http.StatusNoContent || got != "" {
		t.Errorf("no content: %q %+v %v", got, a, err)
	}
	c := newCall("/echo/../echo?a=%20b", "echo")
	c.Path = "/echo?a=%20b"
	c.Header = http.Header{"Accept": {"text/plain"}, "Cookie": {"secret"}, "Idempotency-Key": {"k"}}
	got, a, err = do(context.Background(), e, c)
	if err != nil || got != "text/plain||/echo" || a.Header.Get("Etag") != "a=%20b" || a.Header.Get("Set-Cookie") != "" {
		t.Errorf("headers: %q %+v %v", got, a, err)
	}
	c.Method = http.MethodHead
	c.Attempt = wire.NewAttemptID()
	got, a, err = do(context.Background(), e, c)
	if err != nil || a.Status != http.StatusOK || got != "" {
		t.Errorf("head: %q %+v %v", got, a, err)
	}
}

// A gate that restarts while an attempt runs makes the outcome unknown (may have run), also after an attempt
// to attach again.
func TestGateRestartsDuringAttempt(t *testing.T) {
	u := newUpstream(t)
	first, incarnation := startGate(t, u)
	second, _ := startGate(t, u)
	r := newRelay(t, first.Address(), noCut)
	result := make(chan error, 1)
	go func() {
		_, _, err := do(context.Background(), endpoint(r.address(), incarnation), newCall("/hang", "middle"))
		result <- err
	}()
	u.wait(t, "middle")
	r.mu.Lock()
	r.target = second.Address()
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	first.Stop(ctx)
	if v := verdict.From(<-result); v.Verdict != verdict.MayHaveRun || v.Code != verdict.CodeIncarnationChanged {
		t.Errorf("%v", v)
	}
}

// When the caller disconnects, a repeatable attempt is cancelled at the upstream.
func TestCallerGoesAway(t *testing.T) {
	u := newUpstream(t)
	g, incarnation := startGate(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	c := newCall("/hang", "away")
	c.Repeatable = true
	result := make(chan error, 1)
	go func() {
		_, _, err := do(ctx, endpoint(g.Address(), incarnation), c)
		result <- err
	}()
	u.wait(t, "away")
	cancel()
	if v := verdict.From(<-result); v.Verdict == verdict.NotRun {
		t.Errorf("%v", v)
	}
	for {
		st, err := newDispatch().Status(context.Background(), endpoint(g.Address(), incarnation), c.Attempt)
		if err != nil {
			t.Fatal(err)
		}
		if st.State == wire.AttemptDone {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A stopping gate refuses new work as not run for a grace period. If it closed its connections at once, a
// submission on a kept connection would be lost, and nobody could tell that it had not run.
func TestStoppingGateStillRefuses(t *testing.T) {
	u := newUpstream(t)
	g, incarnation := startGraceful(t, u, time.Hour)
	e, d := endpoint(g.Address(), incarnation), newDispatch()
	a, err := d.Do(context.Background(), e, newCall("/plain", "first"))
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	a.Body.Close()

	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- g.Stop(ctx) }()
	refused := 0
	for refused < 3 {
		a, err := d.Do(context.Background(), e, newCall("/plain", "late"))
		if err == nil { // admitted before the stop took effect
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
			continue
		}
		if v := verdict.From(err); v.Verdict != verdict.NotRun || v.Code != verdict.CodeUpstreamLeaving {
			t.Fatalf("a stopping gate returned %v", v)
		}
		refused++
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
