package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/settings"
	"caperdrum.org/node/stagework"
	"caperdrum.org/node/upstream"
)

const text = `
[service:desk]
kind = plain
upstreams = announced
[service:llm]
kind = engine
upstreams = announced
[service:trace]
kind = batch
upstreams = announced
batch = 4
call_time = 100ms
[route:confirm]
host = desk.example
path_prefix = /confirm/
service = desk
attempts = 1
timeout = 2s
[route:reserve]
host = desk.example
path_prefix = /reserve/
service = desk
idempotent = true
attempts = 2
timeout = 2s
[route:deep]
host = desk.example
path_prefix = /reserve/deep/
service = desk
public = true
timeout = 2s
[route:chat]
host = desk.example
path_prefix = /chat/
service = llm
streaming = true
timeout = 5s
goal = 1s
[route:quote]
host = desk.example
path_prefix = /quote/
service = llm
streaming = true
resumable = true
attempts = 2
timeout = 5s
goal = 1s
[route_stage:quote/0]
service = trace
result_bytes = 100
[customer:foundry]
keys = secret, older
`

// fixedViews is a process whose view was confirmed the given time ago.
type fixedViews struct{ age time.Duration }

func (v *fixedViews) StampAge() time.Duration { return v.age }
func (v *fixedViews) Steady() time.Duration   { return time.Hour }
func (v *fixedViews) Self() wire.Member {
	return wire.Member{ID: "proxy-1", Peer: "127.0.0.1:1", Incarnation: 1}
}
func (v *fixedViews) SetLeaving(bool) {}

// fakeStages answers jobs at once.
type fakeStages struct {
	mu       sync.Mutex
	jobs     []stagework.Job
	released int
	silent   time.Duration
	before   func() // runs before a job is answered
	err      error

	engine    wire.MemberID             // that is chosen
	fetchFrom string                    // where it gets parts of the prompt
	outcomes  []stagework.EngineOutcome // what was said of it
}

func (f *fakeStages) Choose(context.Context, stagework.Job) (stagework.Result, stagework.Release, bool) {
	return stagework.Result{Engine: f.engine, FetchFrom: f.fetchFrom}, f.noteEngine, f.engine != ""
}

func (f *fakeStages) noteEngine(how stagework.EngineOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, how)
}

func (f *fakeStages) Run(_ context.Context, j stagework.Job) (stagework.Result, stagework.Release, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs = append(f.jobs, j)
	if f.before != nil {
		f.before()
	}
	return stagework.Result{Handles: []string{fmt.Sprint("handle-", len(f.jobs))}, Engine: f.engine, FetchFrom: f.fetchFrom}, func(stagework.EngineOutcome) { f.released++ }, f.err
}

func (f *fakeStages) Silent() time.Duration { return f.silent }

// bed is a proxy before upstreams that a test scripts.
type bed struct {
	t       *testing.T
	service *Service
	front   *httptest.Server
	views   *fixedViews
	stages  *fakeStages
	clock   *clockwork.FakeClock // of the quota
	view    configsync.View
}

func noNotices() *upstream.Notices {
	return upstream.NewNotices(logr.Discard(), clockwork.NewRealClock())
}

func newBed(t *testing.T) *bed {
	config, err := optext.Parse("text", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, views: &fixedViews{}, stages: &fakeStages{}}
	self := b.views.Self()
	b.view = configsync.View{Config: config, Version: 7, Announced: map[string][]wire.Member{}, Members: memberset.Of(self), Peers: []wire.Member{self}}
	b.service = newService(&settings.Settings{Proxy: settings.ProxyRole{KeyAge: 4 * time.Second, RepeatRatio: 0.2, RepeatFixed: 50, RepeatWindow: 10 * time.Second}}, logr.Discard(), upstream.Native{}, noNotices(), b.views, b.stages)
	b.clock = clockwork.NewFakeClock()
	b.service.share(b.clock)
	b.front = httptest.NewServer(b.service)
	t.Cleanup(func() {
		b.front.Close()
		b.service.pool.Close()
	})
	b.service.follow(&b.view)
	b.clock.Advance(time.Minute) // the process is settled
	return b
}

// upstream adds an upstream of the service.
func (b *bed) upstream(service, id string, h http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		h(w, r)
	}))
	b.t.Cleanup(srv.Close)
	b.announce(service, append(b.view.Announced[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: srv.Listener.Addr().String()}))
}

func (b *bed) announce(service string, list []wire.Member) {
	next := b.view
	next.Announced = map[string][]wire.Member{}
	for name, l := range b.view.Announced {
		next.Announced[name] = l
	}
	next.Announced[service] = list
	b.view = next
	b.service.follow(&next)
}

func (b *bed) send(method, path string, header map[string]string) (*http.Response, string, error) {
	b.t.Helper()
	r, err := http.NewRequest(method, b.front.URL+path, strings.NewReader("body"))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "desk.example"
	r.Header.Set(wire.HeaderRequestID, "try-1")
	r.Header.Set("Authorization", "Bearer secret")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (b *bed) want(status int, method, path string, header map[string]string) string {
	b.t.Helper()
	resp, body, err := b.send(method, path, header)
	if err != nil || resp.StatusCode != status {
		b.t.Fatalf("%v, %v %q; want %d", err, resp, body, status)
	}
	if promises := status == http.StatusServiceUnavailable; promises != (resp.Header.Get("Retry-After") != "") {
		b.t.Fatalf("status %d with Retry-After %q", status, resp.Header.Get("Retry-After"))
	}
	return body
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func ok(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done ", r.URL.Path) }

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestCallReachesItsRoute passes method, path, body and the customer on, and
// neither the key nor headers that only caperdrum sets.
func TestCallReachesItsRoute(t *testing.T) {
	b := newBed(t)
	b.upstream("desk", "d1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s customer=%s key=%q instance=%s inputs=%q", r.Method, r.RequestURI, body, r.Header.Get("Caperdrum-Customer"),
			r.Header.Get("Authorization"), r.Header.Get("Caperdrum-Instance"), r.Header.Get("Caperdrum-Inputs"))
	})
	got := b.want(http.StatusOK, http.MethodPost, "/confirm/a%2Fb?x=1", map[string]string{"Caperdrum-Inputs": "forged", "Caperdrum-Customer": "forged"})
	if want := `POST /confirm/a%2Fb?x=1 body customer=foundry key="" instance=d1 inputs=""`; got != want {
		t.Fatalf("got %s", got)
	}
}

// TestWhoMayCall lists refusals before anything is sent.
func TestWhoMayCall(t *testing.T) {
	cases := map[string]struct {
		path, key string
		age       time.Duration
		status    int
	}{
		"an unknown route":                      {"/nowhere/", "secret", 0, 404},
		"an unknown route, known long ago":      {"/nowhere/", "secret", staleAfter + 1, 503},
		"an unknown key":                        {"/confirm/", "guess", 0, 401},
		"an unknown key, known long ago":        {"/confirm/", "guess", staleAfter + 1, 503},
		"a known key that is not confirmed":     {"/confirm/", "secret", 5 * time.Second, 503},
		"a second key of a customer":            {"/confirm/", "older", 0, 200},
		"a public route needs none":             {"/reserve/deep/", "", time.Hour, 200},
		"a route whose prefix is not whole":     {"/confirmed", "secret", 0, 404},
		"a body on a route with a known prefix": {"/reserve/", "secret", 0, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.upstream("desk", "d1", ok)
			b.views.age = c.age
			b.want(c.status, http.MethodPost, c.path, map[string]string{"Authorization": "Bearer " + c.key})
		})
	}
}

// TestNoConfigurationYet refuses as not run, not as unknown.
func TestNoConfigurationYet(t *testing.T) {
	b := newBed(t)
	b.service.table.Store(nil)
	b.want(http.StatusServiceUnavailable, http.MethodGet, "/confirm/", nil)
}

// counter counts the calls of an upstream.
type counter struct{ n atomic.Int32 }

func (c *counter) count(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.n.Add(1)
		h(w, r)
	}
}

// TestWhatMayBeRepeated lists how two upstreams behave, and how often a call may
// reach them.
func TestWhatMayBeRepeated(t *testing.T) {
	serverError := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "own failure", http.StatusInternalServerError)
	}
	cases := map[string]struct {
		path   string
		h      http.HandlerFunc
		status int
		calls  int
	}{
		"a confirmation that broke off":         {"/confirm/", breakOff, http.StatusBadGateway, 1},
		"a confirmation that was refused":       {"/confirm/", refuseNotRun, http.StatusServiceUnavailable, 1},
		"a confirmation that failed":            {"/confirm/", serverError, http.StatusInternalServerError, 1},
		"an idempotent call that failed":        {"/reserve/", serverError, http.StatusInternalServerError, 2},
		"an idempotent call that was cut":       {"/reserve/", breakOff, http.StatusBadGateway, 2},
		"an idempotent call, refused":           {"/reserve/", refuseNotRun, http.StatusServiceUnavailable, 2},
		"a chat that broke off before it began": {"/chat/", breakOff, http.StatusBadGateway, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			var n counter
			for _, service := range []string{"desk", "llm"} {
				b.upstream(service, service+"1", n.count(c.h))
				b.upstream(service, service+"2", n.count(c.h))
			}
			b.want(c.status, http.MethodPost, c.path, nil)
			if int(n.n.Load()) != c.calls {
				t.Fatalf("%d calls of upstreams, want %d", n.n.Load(), c.calls)
			}
		})
	}
}

// TestRefusalAfterARun lets a call that may be repeated break off or fail at the
// upstream that is tried first, and be refused as not run by the other one. The
// caller must not be told that it has not run, and gets the answer that there is.
func TestRefusalAfterARun(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "own failure", http.StatusInternalServerError)
	}
	cases := map[string]struct {
		path   string
		first  http.HandlerFunc
		status int
		body   string
	}{
		"a call that broke off":        {"/reserve/", breakOff, http.StatusBadGateway, "may-have-run"},
		"a call that failed by itself": {"/reserve/", fails, http.StatusInternalServerError, "own failure"},
		"a stream that broke off":      {"/quote/", breakOff, http.StatusBadGateway, "may-have-run"},
		"a stream that failed":         {"/quote/", fails, http.StatusInternalServerError, "own failure"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			var n counter
			either := n.count(func(w http.ResponseWriter, r *http.Request) {
				if n.n.Load() == 1 {
					c.first(w, r)
					return
				}
				refuseNotRun(w, r)
			})
			for _, service := range []string{"desk", "llm"} {
				b.upstream(service, service+"1", either)
				b.upstream(service, service+"2", either)
			}
			if got := b.want(c.status, http.MethodPost, c.path, nil); !strings.Contains(got, c.body) || n.n.Load() != 2 {
				t.Fatalf("%q after %d calls", got, n.n.Load())
			}
		})
	}
}

// announceGone announces an upstream of a service, "gone", at an address where nobody listens.
func (b *bed) announceGone(service string) {
	gone := httptest.NewServer(http.NotFoundHandler())
	address := gone.Listener.Addr().String()
	gone.Close()
	b.announce(service, append(b.view.Announced[service], wire.Member{ID: "gone", Service: service, Direct: address}))
}

// TestUnreachableUpstreamIsReplaced announces an address where nobody listens
// beside one that answers: it counts as no attempt.
func TestUnreachableUpstreamIsReplaced(t *testing.T) {
	b := newBed(t)
	b.upstream("desk", "d1", ok)
	b.announceGone("desk")
	for range 5 {
		b.want(http.StatusOK, http.MethodPost, "/confirm/", nil)
	}
}

// TestMovedAddressIsReplaced lets another upstream answer at an address.
func TestMovedAddressIsReplaced(t *testing.T) {
	b := newBed(t)
	b.upstream("desk", "d1", ok)
	b.upstream("desk", "old", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	for range 5 {
		b.want(http.StatusOK, http.MethodPost, "/confirm/", nil)
	}
}

// events is an engine that sends events from the one after Last-Event-Id on, and
// breaks off in the middle of event cut, if that is above zero.
func events(n, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			fmt.Sscan(last, &first)
			first++
		}
		for i := first; i <= n; i++ {
			if i == cut {
				fmt.Fprintf(w, "id: %d\nda", i)
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: token%d\n\n", i, i)
			http.NewResponseController(w).Flush()
		}
	}
}

// TestStreamGoesOnElsewhere breaks a resumable stream in the middle of an event:
// the caller gets each event once, and the results of the stages are made again.
func TestStreamGoesOnElsewhere(t *testing.T) {
	b := newBed(t)
	var n counter
	flaky := events(6, 4)
	b.upstream("llm", "e1", n.count(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			flaky(w, r)
			return
		}
		events(6, 0)(w, r)
	}))
	b.upstream("llm", "e2", n.count(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			flaky(w, r)
			return
		}
		events(6, 0)(w, r)
	}))
	got := b.want(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "2", "Caperdrum-Piece-Key": "k"})
	var ids []string
	for line := range strings.Lines(got) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	if strings.Join(ids, " ") != "1 2 3 4 5 6" || n.n.Load() != 2 {
		t.Fatalf("events %v from %d upstreams", ids, n.n.Load())
	}
	if len(b.stages.jobs) != 2 || b.stages.released != 2 {
		t.Fatalf("%d jobs, %d released", len(b.stages.jobs), b.stages.released)
	}
}

// TestCutStreamDoesNotLookWhole breaks a stream that may not be resumed.
func TestCutStreamDoesNotLookWhole(t *testing.T) {
	b := newBed(t)
	b.upstream("llm", "e1", events(6, 4))
	b.upstream("llm", "e2", events(6, 4))
	resp, body, err := b.send(http.MethodPost, "/chat/", nil)
	if err == nil || resp == nil || strings.Contains(body, "da\n") || !strings.HasSuffix(body, "token3\n\n") {
		t.Fatalf("%v, %q", err, body)
	}
}

// TestLongPromptsLeaveTheEngineMoreTime compares the time that the stages are given
// for calls whose prompts differ in their last part, and in a shared one.
func TestLongPromptsLeaveTheEngineMoreTime(t *testing.T) {
	part := func(tokens int64) upstream.PromptPart { return upstream.PromptPart{ID: "p", Tokens: tokens} }
	cases := map[string]struct {
		prompt []upstream.PromptPart
		want   time.Duration
	}{
		"none":          {nil, engineFirst},
		"short":         {[]upstream.PromptPart{part(800)}, engineFirst + 10*time.Millisecond},
		"long":          {[]upstream.PromptPart{part(5000), part(40_000)}, engineFirst + 500*time.Millisecond},
		"mostly shared": {[]upstream.PromptPart{part(40_000), part(800)}, engineFirst + 10*time.Millisecond},
	}
	for name, c := range cases {
		if got := engineStart(c.prompt); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestStagesOfACall lists how the stages end, and what the caller gets.
func TestStagesOfACall(t *testing.T) {
	pieces := map[string]string{"Caperdrum-Pieces": "3", "Caperdrum-Piece-Key": "k"}
	t.Run("the engine gets their results", func(t *testing.T) {
		b := newBed(t)
		b.upstream("llm", "e1", func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "data: %s\n\n", r.Header.Get("Caperdrum-Inputs"))
		})
		if got := b.want(http.StatusOK, http.MethodPost, "/quote/", pieces); got != "data: handle-1\n\n" {
			t.Fatalf("got %q", got)
		}
		if j := b.stages.jobs[0]; j.ID != "try-1" || j.Key != "k" || j.Stages[0].Pieces != 3 {
			t.Fatalf("job %+v", j)
		}
	})
	t.Run("none are asked for", func(t *testing.T) {
		b := newBed(t)
		b.upstream("llm", "e1", events(1, 0))
		b.want(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "0"})
		if len(b.stages.jobs) != 0 {
			t.Fatal("a job without pieces")
		}
	})
	t.Run("they are refused", func(t *testing.T) {
		b := newBed(t)
		b.stages.err = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy").WithRetryAfter(time.Second)
		var n counter
		b.upstream("llm", "e1", n.count(events(1, 0)))
		b.want(http.StatusServiceUnavailable, http.MethodPost, "/quote/", pieces)
		if n.n.Load() != 0 {
			t.Fatal("the engine was called")
		}
	})
	t.Run("their results are gone", func(t *testing.T) {
		b := newBed(t)
		b.upstream("llm", "e1", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Caperdrum-Inputs") == "handle-1" {
				w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
				w.WriteHeader(http.StatusConflict)
				return
			}
			events(1, 0)(w, r)
		})
		b.want(http.StatusOK, http.MethodPost, "/quote/", pieces)
		if len(b.stages.jobs) != 2 {
			t.Fatalf("%d jobs", len(b.stages.jobs))
		}
	})
}

// TestUpstreamThatLeftMeanwhile lets the only engine that was known at the
// admission leave while the stages run.
func TestUpstreamThatLeftMeanwhile(t *testing.T) {
	b := newBed(t)
	var left counter
	b.upstream("llm", "left", left.count(events(1, 0)))
	b.stages.before = func() {
		b.announce("llm", nil)
		b.upstream("llm", "next", events(1, 0))
	}
	b.want(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "1"})
	if left.n.Load() != 0 {
		t.Fatal("an upstream that has left was called")
	}
}

// TestDeadline lets an upstream be silent: the caller gets its final answer at
// the deadline, and the upstream sees the connection close.
func TestDeadline(t *testing.T) {
	b := newBed(t)
	closed := make(chan struct{}, 1)
	b.upstream("desk", "d1", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		closed <- struct{}{}
	})
	b.want(http.StatusGatewayTimeout, http.MethodPost, "/confirm/", map[string]string{wire.HeaderTimeout: "50ms"})
	<-closed
}

// TestStoppingProcessAnswers ends a call that is under way when the process must
// give its last answers.
func TestStoppingProcessAnswers(t *testing.T) {
	b := newBed(t)
	arrived := make(chan struct{})
	b.upstream("desk", "d1", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	got := make(chan int, 1)
	go func() {
		resp, _, err := b.send(http.MethodPost, "/confirm/", nil)
		if err != nil {
			got <- 0
			return
		}
		got <- resp.StatusCode
	}()
	<-arrived
	b.service.end()
	if status := <-got; status < 500 || status == http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
}

// TestReadiness lists when a balancer may send callers here.
func TestReadiness(t *testing.T) {
	cases := map[string]struct {
		change func(*bed)
		ready  bool
	}{
		"all is well":                    {func(*bed) {}, true},
		"stopping":                       {func(b *bed) { b.service.stopping.Store(true) }, false},
		"no configuration yet":           {func(b *bed) { b.service.table.Store(nil) }, false},
		"no quorum for a while":          {func(b *bed) { b.views.age = 3 * time.Second }, true},
		"no quorum, keys do not count":   {func(b *bed) { b.views.age = 5 * time.Second }, false},
		"another owner is about to come": {func(b *bed) { b.stages.silent = time.Second }, true},
		"the owner is out of reach":      {func(b *bed) { b.stages.silent = 2 * time.Second }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			c.change(b)
			w := httptest.NewRecorder()
			b.service.answerReady(w, httptest.NewRequest(http.MethodGet, "/", nil))
			if ready := w.Code == http.StatusOK; ready != c.ready {
				t.Fatalf("status %d", w.Code)
			}
		})
	}
}

// TestRefusalSendsTheCallerElsewhere refuses a call at a process that is not
// ready: its connection ends, since a kept one stays here.
func TestRefusalSendsTheCallerElsewhere(t *testing.T) {
	b := newBed(t)
	for _, silent := range []time.Duration{0, time.Minute} {
		b.stages.silent = silent
		resp, _, err := b.send(http.MethodPost, "/nowhere/", nil)
		if err != nil || resp.Close != (silent > 0) {
			t.Fatalf("%v, closes %v after a silence of %v", err, resp.Close, silent)
		}
	}
}

// TestEventSplitter feeds a stream in every pair of parts.
func TestEventSplitter(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda"
	for cut := range len(stream) {
		var e eventSplitter
		got := string(e.feed([]byte(stream[:cut]))) + string(e.feed([]byte(stream[cut:])))
		if !strings.HasPrefix(stream, got) || !strings.HasSuffix(got, "data: c\n\n") || e.last != "3" || string(e.pending) != "id: 4\nda" {
			t.Fatalf("cut at %d: %q, last %q, pending %q", cut, got, e.last, e.pending)
		}
	}
}

// TestChosenEngineTakesTheCall has the owner of the stages choose between two engines:
// the call goes there, one that does not answer is reported, and where nothing was
// chosen the process chooses by itself.
func TestChosenEngineTakesTheCall(t *testing.T) {
	for _, wanted := range []wire.MemberID{"e1", "e2", ""} {
		b := newBed(t)
		calls := map[string]*counter{"e1": {}, "e2": {}}
		for id, c := range calls {
			b.upstream("llm", id, c.count(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\n\n") }))
		}
		b.stages.engine = wanted
		b.want(http.StatusOK, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
		if wanted != "" && calls[string(wanted)].n.Load() != 1 {
			t.Errorf("%s was chosen and got %d calls", wanted, calls[string(wanted)].n.Load())
		}
		b.stages.mu.Lock()
		if want := []stagework.EngineOutcome{stagework.EngineBegan}; wanted != "" && !slices.Equal(b.stages.outcomes, want) {
			t.Errorf("the owner is told %v", b.stages.outcomes)
		}
		b.stages.mu.Unlock()
		if sum := calls["e1"].n.Load() + calls["e2"].n.Load(); sum != 1 {
			t.Errorf("%d calls", sum)
		}
	}
	b := newBed(t)
	b.upstream("llm", "broken", breakOff)
	b.stages.engine = "broken"
	b.want(http.StatusBadGateway, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
	b.stages.mu.Lock()
	defer b.stages.mu.Unlock()
	if !slices.Equal(b.stages.outcomes, []stagework.EngineOutcome{stagework.EngineFailed}) {
		t.Errorf("the owner is told %v", b.stages.outcomes)
	}
}

// TestChosenEngineThatIsReplacedIsReported has the owner choose an engine that refuses connections: another one takes
// the call, and the owner hears of it. Else it would choose the same one for every call until the members drop it.
func TestChosenEngineThatIsReplacedIsReported(t *testing.T) {
	b := newBed(t)
	b.upstream("llm", "other", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\n\n") })
	b.announceGone("llm")
	b.stages.engine = "gone"
	b.want(http.StatusOK, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
	b.stages.mu.Lock()
	defer b.stages.mu.Unlock()
	if !slices.Equal(b.stages.outcomes, []stagework.EngineOutcome{stagework.EngineFailed}) {
		t.Errorf("the owner is told %v", b.stages.outcomes)
	}
}

// TestChosenEngineFetches tells the chosen engine, and no other, where it gets parts of
// the prompt: an engine that takes the call in its place reads them.
func TestChosenEngineFetches(t *testing.T) {
	for _, c := range []struct {
		path  string
		fails bool
	}{{"/chat/", false}, {"/quote/", false}, {"/quote/", true}} {
		b := newBed(t)
		var mu sync.Mutex
		told := map[string]string{}
		for _, id := range []string{"chosen", "other"} {
			b.upstream("llm", id, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				told[id] = r.Header.Get("Caperdrum-Fetch-From")
				mu.Unlock()
				if c.fails && id == "chosen" {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, "id: 1\n\n")
			})
		}
		b.stages.engine, b.stages.fetchFrom = "chosen", "10.0.0.9:80"
		b.want(http.StatusOK, http.MethodPost, c.path, map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10", "Caperdrum-Pieces": "1", "Caperdrum-Fetch-From": "forged"})
		mu.Lock()
		if other, sent := told["other"]; told["chosen"] != "10.0.0.9:80" || other != "" || sent != c.fails {
			t.Errorf("%+v: told %v", c, told)
		}
		mu.Unlock()
	}
}
