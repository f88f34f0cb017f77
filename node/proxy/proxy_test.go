package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
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
	"caperdrum.org/node/streamorigin"
	"caperdrum.org/node/upstream"
)

const testConfig = `
[service:desk]
kind = plain
upstreams = announced
[service:llm]
kind = engine
upstreams = announced
health_path = /health
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
max_gap = 200ms
[route_stage:quote/0]
service = trace
result_bytes = 100
[customer:foundry]
keys = secret, older
`

// fixedViews is a viewSource whose last confirmation has a fixed age.
type fixedViews struct {
	age    time.Duration
	onRead func() // called when the age is read; may be nil
}

func (v *fixedViews) StampAge() time.Duration {
	if v.onRead != nil {
		v.onRead()
	}
	return v.age
}
func (v *fixedViews) ConfirmedFor() time.Duration { return time.Hour }
func (v *fixedViews) Self() wire.Member {
	return wire.Member{ID: "proxy-1", Peer: "127.0.0.1:1", Incarnation: 1}
}
func (v *fixedViews) SetLeaving(bool) {}

// fakeStages implements stages and answers at once.
type fakeStages struct {
	mu       sync.Mutex
	jobs     []stagework.Job
	released int
	silent   time.Duration
	before   func() // called before a job is answered
	err      error

	engine    wire.MemberID             // the chosen engine; empty for none
	permitted bool                      // the choice is within the engine's request limit
	fetchFrom string                    // where the engine fetches parts of the prompt
	permits   []stagework.PermitReply   // answers to requests for permits, in order; the last one is repeated
	asked     [][]wire.MemberID         // upstreams for which permits were asked
	outcomes  []stagework.EngineOutcome // reported for the engine
}

func (f *fakeStages) Choose(context.Context, stagework.Job) (stagework.Result, stagework.Release, bool) {
	return stagework.Result{Engine: f.engine, FetchFrom: f.fetchFrom, Permitted: f.permitted}, f.noteEngine, f.engine != ""
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
	return stagework.Result{Handles: []string{fmt.Sprint("handle-", len(f.jobs))}, Engine: f.engine, FetchFrom: f.fetchFrom, Permitted: f.permitted}, func(stagework.EngineOutcome) { f.released++ }, f.err
}

func (f *fakeStages) Permit(_ context.Context, _ string, list []wire.Member, _ int) stagework.PermitReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []wire.MemberID
	for _, m := range list {
		ids = append(ids, m.ID)
	}
	f.asked = append(f.asked, ids)
	if len(f.permits) == 0 {
		return stagework.PermitReply{Wait: time.Hour, RetryAfter: time.Second}
	}
	reply := f.permits[0]
	if len(f.permits) > 1 {
		f.permits = f.permits[1:]
	}
	return reply
}

func (f *fakeStages) Silent() time.Duration { return f.silent }

// fakeOrigins implements streamOrigins.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[streamorigin.Key]streamorigin.Origin
	begun []streamorigin.Record
	asked []streamorigin.Key
}

func (f *fakeOrigins) Begin(_ context.Context, r streamorigin.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, r)
	f.known[r.Key] = r.Origin
	return true
}

func (f *fakeOrigins) Find(_ context.Context, key streamorigin.Key) (streamorigin.Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, key)
	origin, known := f.known[key]
	return origin, known
}

// fixture is a proxy with upstreams whose handlers the test provides.
type fixture struct {
	t       *testing.T
	service *Service
	server  *httptest.Server
	views   *fixedViews
	stages  *fakeStages
	origins *fakeOrigins
	clock   *clockwork.FakeClock // of the repeat quota
	view    configsync.View
}

func noNotices() *upstream.Notices {
	return upstream.NewNotices(logr.Discard(), clockwork.NewRealClock())
}

func newFixture(t *testing.T) *fixture {
	config, err := optext.Parse("text", []byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, views: &fixedViews{}, stages: &fakeStages{}, origins: &fakeOrigins{known: map[streamorigin.Key]streamorigin.Origin{}}}
	self := f.views.Self()
	f.view = configsync.View{Config: config, Version: 7, Announced: map[string][]wire.Member{}, Members: memberset.Of(self), Proxies: []wire.Member{self}}
	f.service = newService(&settings.Settings{Proxy: settings.ProxyRole{KeyAge: 4 * time.Second, RepeatRatio: 0.2, RepeatFixed: 50, RepeatWindow: 10 * time.Second}}, logr.Discard(), upstream.Native{}, noNotices(), f.views, f.stages, f.origins)
	f.clock = clockwork.NewFakeClock()
	f.service.initQuota(f.clock)
	f.server = httptest.NewUnstartedServer(f.service)
	f.server.Config.ConnContext = f.service.server.ConnContext
	f.server.Start()
	t.Cleanup(func() {
		f.server.Close()
		f.service.pool.Close()
	})
	f.service.applyView(&f.view)
	f.clock.Advance(time.Minute) // so that the process is settled and may repeat calls
	return f
}

// upstream announces a new upstream of the service.
func (f *fixture) upstream(service, id string, h http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		h(w, r)
	}))
	f.t.Cleanup(srv.Close)
	f.announce(service, append(f.view.Announced[service], wire.Member{ID: wire.MemberID(id), Service: service, Direct: srv.Listener.Addr().String()}))
}

func (f *fixture) announce(service string, list []wire.Member) {
	next := f.view
	next.Announced = map[string][]wire.Member{}
	for name, l := range f.view.Announced {
		next.Announced[name] = l
	}
	next.Announced[service] = list
	next.AllVersions = next.Announced
	for _, m := range list {
		next.Members = next.Members.With(m)
	}
	f.view = next
	f.service.applyView(&next)
}

// removeMember ends the membership of an upstream while calls are at it.
func (f *fixture) removeMember(id wire.MemberID) {
	f.view.Members = f.view.Members.Without(id)
	next := f.view
	f.service.applyView(&next)
}

func (f *fixture) send(method, path string, header map[string]string) (*http.Response, string, error) {
	f.t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
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

func (f *fixture) wantStatus(status int, method, path string, header map[string]string) string {
	f.t.Helper()
	resp, body, err := f.send(method, path, header)
	if err != nil || resp.StatusCode != status {
		f.t.Fatalf("%v, %v %q; want %d", err, resp, body, status)
	}
	if promises := status == http.StatusServiceUnavailable; promises != (resp.Header.Get("Retry-After") != "") {
		f.t.Fatalf("status %d with Retry-After %q", status, resp.Header.Get("Retry-After"))
	}
	return body
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerOK(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done ", r.URL.Path) }

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestCallReachesItsRoute checks that method, path, body and customer are passed on, and neither the key nor
// headers that only the proxy may set.
func TestCallReachesItsRoute(t *testing.T) {
	f := newFixture(t)
	f.upstream("desk", "d1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s customer=%s key=%q instance=%s inputs=%q", r.Method, r.RequestURI, body, r.Header.Get("Caperdrum-Customer"),
			r.Header.Get("Authorization"), r.Header.Get("Caperdrum-Instance"), r.Header.Get("Caperdrum-Inputs"))
	})
	got := f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/a%2Fb?x=1", map[string]string{"Caperdrum-Inputs": "forged", "Caperdrum-Customer": "forged"})
	if want := `POST /confirm/a%2Fb?x=1 body customer=foundry key="" instance=d1 inputs=""`; got != want {
		t.Fatalf("got %s", got)
	}
}

// TestRouteAndKeyChecks checks which calls are refused before anything is sent.
func TestRouteAndKeyChecks(t *testing.T) {
	cases := map[string]struct {
		path, key string
		age       time.Duration
		status    int
	}{
		"an unknown route":                              {"/nowhere/", "secret", 0, 404},
		"an unknown route, stale configuration":         {"/nowhere/", "secret", staleAfter + 1, 503},
		"an unknown key":                                {"/confirm/", "guess", 0, 401},
		"an unknown key, stale configuration":           {"/confirm/", "guess", staleAfter + 1, 503},
		"a known key without a recent confirmation":     {"/confirm/", "secret", 5 * time.Second, 503},
		"a second key of a customer":                    {"/confirm/", "older", 0, 200},
		"a public route needs no key":                   {"/reserve/deep/", "", time.Hour, 200},
		"a path that does not contain the whole prefix": {"/confirmed", "secret", 0, 404},
		"a path that equals a prefix":                   {"/reserve/", "secret", 0, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.upstream("desk", "d1", answerOK)
			f.views.age = c.age
			f.wantStatus(c.status, http.MethodPost, c.path, map[string]string{"Authorization": "Bearer " + c.key})
		})
	}
}

// TestNoConfigurationYet checks that calls before the first configuration are refused as not run, not as unknown.
func TestNoConfigurationYet(t *testing.T) {
	f := newFixture(t)
	f.service.table.Store(nil)
	f.wantStatus(http.StatusServiceUnavailable, http.MethodGet, "/confirm/", nil)
}

// callCounter counts the calls that reach an upstream.
type callCounter struct{ n atomic.Int32 }

func (c *callCounter) count(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.n.Add(1)
		h(w, r)
	}
}

// TestRepeatableCalls checks for failing upstreams how often a call may reach one.
func TestRepeatableCalls(t *testing.T) {
	serverError := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "server error", http.StatusInternalServerError)
	}
	cases := map[string]struct {
		path   string
		h      http.HandlerFunc
		status int
		calls  int
	}{
		"a confirmation whose connection broke":         {"/confirm/", breakOff, http.StatusBadGateway, 1},
		"a confirmation that was refused":               {"/confirm/", refuseNotRun, http.StatusServiceUnavailable, 1},
		"a confirmation that failed":                    {"/confirm/", serverError, http.StatusInternalServerError, 1},
		"an idempotent call that failed":                {"/reserve/", serverError, http.StatusInternalServerError, 2},
		"an idempotent call whose connection broke":     {"/reserve/", breakOff, http.StatusBadGateway, 2},
		"an idempotent call that was refused":           {"/reserve/", refuseNotRun, http.StatusServiceUnavailable, 2},
		"a chat whose connection broke before it began": {"/chat/", breakOff, http.StatusBadGateway, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var n callCounter
			for _, service := range []string{"desk", "llm"} {
				f.upstream(service, service+"1", n.count(c.h))
				f.upstream(service, service+"2", n.count(c.h))
			}
			f.wantStatus(c.status, http.MethodPost, c.path, nil)
			if int(n.n.Load()) != c.calls {
				t.Fatalf("%d calls of upstreams, want %d", n.n.Load(), c.calls)
			}
		})
	}
}

// TestRefusalAfterARun has the first attempt of a repeatable call fail and the second refused as not run. The
// caller must not be told that the call has not run, and gets the failed response if there is one.
func TestRefusalAfterARun(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "server error", http.StatusInternalServerError)
	}
	cases := map[string]struct {
		path   string
		first  http.HandlerFunc
		status int
		body   string
	}{
		"a call whose connection broke":   {"/reserve/", breakOff, http.StatusBadGateway, "may-have-run"},
		"a call that failed":              {"/reserve/", fails, http.StatusInternalServerError, "server error"},
		"a stream whose connection broke": {"/quote/", breakOff, http.StatusBadGateway, "may-have-run"},
		"a stream that failed":            {"/quote/", fails, http.StatusInternalServerError, "server error"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var n callCounter
			either := n.count(func(w http.ResponseWriter, r *http.Request) {
				if n.n.Load() == 1 {
					c.first(w, r)
					return
				}
				refuseNotRun(w, r)
			})
			for _, service := range []string{"desk", "llm"} {
				f.upstream(service, service+"1", either)
				f.upstream(service, service+"2", either)
			}
			if got := f.wantStatus(c.status, http.MethodPost, c.path, nil); !strings.Contains(got, c.body) || n.n.Load() != 2 {
				t.Fatalf("%q after %d calls", got, n.n.Load())
			}
		})
	}
}

// announceGone announces an upstream "gone" of the service, at an address where nobody listens.
func (f *fixture) announceGone(service string) {
	gone := httptest.NewServer(http.NotFoundHandler())
	address := gone.Listener.Addr().String()
	gone.Close()
	f.announce(service, append(f.view.Announced[service], wire.Member{ID: "gone", Service: service, Direct: address}))
}

// TestUnreachableUpstreamIsReplaced announces an address where nobody listens beside one that answers. A refused
// connection must not count as an attempt.
func TestUnreachableUpstreamIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.upstream("desk", "d1", answerOK)
	f.announceGone("desk")
	for range 5 {
		f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/", nil)
	}
}

// TestMovedAddressIsReplaced has another upstream answer at an announced address.
func TestMovedAddressIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.upstream("desk", "d1", answerOK)
	f.upstream("desk", "old", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	for range 5 {
		f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/", nil)
	}
}

// events returns an engine that sends n events, from the one after Last-Event-Id on, and breaks the connection in
// the middle of event cut if that is above zero.
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

// TestStreamResumesAtAnotherUpstream breaks a resumable stream in the middle of an event: the caller must get
// each event once, and the stages are run again.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	f := newFixture(t)
	var n callCounter
	flaky := events(6, 4)
	f.upstream("llm", "e1", n.count(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			flaky(w, r)
			return
		}
		events(6, 0)(w, r)
	}))
	f.upstream("llm", "e2", n.count(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			flaky(w, r)
			return
		}
		events(6, 0)(w, r)
	}))
	got := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "2", "Caperdrum-Piece-Key": "k"})
	var ids []string
	for line := range strings.Lines(got) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	if strings.Join(ids, " ") != "1 2 3 4 5 6" || n.n.Load() != 2 {
		t.Fatalf("events %v from %d upstreams", ids, n.n.Load())
	}
	if len(f.stages.jobs) != 2 || f.stages.released != 2 {
		t.Fatalf("%d jobs, %d released", len(f.stages.jobs), f.stages.released)
	}
}

// TestCutStreamIsReportedAsAnError breaks a stream that may not be resumed: the caller must see an error.
func TestCutStreamIsReportedAsAnError(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "e1", events(6, 4))
	f.upstream("llm", "e2", events(6, 4))
	resp, body, err := f.send(http.MethodPost, "/chat/", nil)
	if err == nil || resp == nil || strings.Contains(body, "da\n") || !strings.HasSuffix(body, "token3\n\n") {
		t.Fatalf("%v, %q", err, body)
	}
}

// TestLongPromptsLeaveTheEngineMoreTime checks how much time is reserved for the engine, depending on the length
// of the prompt's last part; shared parts do not count.
func TestLongPromptsLeaveTheEngineMoreTime(t *testing.T) {
	part := func(tokens int64) upstream.PromptPart { return upstream.PromptPart{ID: "p", Tokens: tokens} }
	cases := map[string]struct {
		prompt []upstream.PromptPart
		want   time.Duration
	}{
		"none":          {nil, firstEventTime},
		"short":         {[]upstream.PromptPart{part(800)}, firstEventTime + 10*time.Millisecond},
		"long":          {[]upstream.PromptPart{part(5000), part(40_000)}, firstEventTime + 500*time.Millisecond},
		"mostly shared": {[]upstream.PromptPart{part(40_000), part(800)}, firstEventTime + 10*time.Millisecond},
	}
	for name, c := range cases {
		if got := engineTime(c.prompt); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestStagesOfACall checks what the caller gets depending on how the stages end.
func TestStagesOfACall(t *testing.T) {
	pieces := map[string]string{"Caperdrum-Pieces": "3", "Caperdrum-Piece-Key": "k"}
	t.Run("the engine gets the results", func(t *testing.T) {
		f := newFixture(t)
		f.upstream("llm", "e1", func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "data: %s\n\n", r.Header.Get("Caperdrum-Inputs"))
		})
		if got := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", pieces); got != "data: handle-1\n\n" {
			t.Fatalf("got %q", got)
		}
		if j := f.stages.jobs[0]; j.ID != "try-1" || j.Key != "k" || j.Stages[0].Pieces != 3 {
			t.Fatalf("job %+v", j)
		}
	})
	t.Run("jobs name their customer only with fair_stages, and have its priority in any case", func(t *testing.T) {
		for _, fair := range []bool{false, true} {
			f := newFixture(t)
			f.service.set.Proxy.FairStages = fair
			f.upstream("llm", "e1", events(1, 0))
			f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", pieces)
			foundry := *f.view.Config.Customers["foundry"]
			foundry.Share, foundry.Priority = 2.5, 3
			config := *f.view.Config
			config.Customers = map[string]*optext.Customer{"foundry": &foundry}
			f.view.Config, f.view.Version = &config, 8
			next := f.view
			f.service.applyView(&next)
			f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", pieces)
			want := []stagework.Job{{}, {Priority: 3}}
			if fair {
				want = []stagework.Job{{Customer: "foundry", Weight: 1}, {Customer: "foundry", Weight: 2.5, Priority: 3}}
			}
			for i, j := range f.stages.jobs {
				if j.Customer != want[i].Customer || j.Weight != want[i].Weight || j.Priority != want[i].Priority {
					t.Errorf("fair_stages %v: job %+v, want the customer of %+v", fair, j, want[i])
				}
			}
			if len(f.stages.jobs) != 2 {
				t.Errorf("%d jobs", len(f.stages.jobs))
			}
		}
	})
	t.Run("no stages are requested", func(t *testing.T) {
		f := newFixture(t)
		f.upstream("llm", "e1", events(1, 0))
		f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "0"})
		if len(f.stages.jobs) != 0 {
			t.Fatal("a job without pieces")
		}
	})
	t.Run("the stages are refused", func(t *testing.T) {
		f := newFixture(t)
		f.stages.err = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy").WithRetryAfter(time.Second)
		var n callCounter
		f.upstream("llm", "e1", n.count(events(1, 0)))
		f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/quote/", pieces)
		if n.n.Load() != 0 {
			t.Fatal("the engine was called")
		}
	})
	t.Run("the results are lost", func(t *testing.T) {
		f := newFixture(t)
		f.upstream("llm", "e1", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Caperdrum-Inputs") == "handle-1" {
				w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
				w.WriteHeader(http.StatusConflict)
				return
			}
			events(1, 0)(w, r)
		})
		f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", pieces)
		if len(f.stages.jobs) != 2 {
			t.Fatalf("%d jobs", len(f.stages.jobs))
		}
	})
}

// TestEngineThatLeavesDuringTheStagesIsNotCalled has the only known engine leave while the stages run.
func TestEngineThatLeavesDuringTheStagesIsNotCalled(t *testing.T) {
	f := newFixture(t)
	var left callCounter
	f.upstream("llm", "left", left.count(events(1, 0)))
	f.stages.before = func() {
		f.announce("llm", nil)
		f.upstream("llm", "next", events(1, 0))
	}
	f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Pieces": "1"})
	if left.n.Load() != 0 {
		t.Fatal("an upstream that has left was called")
	}
}

// TestDeadline has an upstream stay silent: the caller must get its final response at the deadline, and the upstream
// see the connection close.
func TestDeadline(t *testing.T) {
	f := newFixture(t)
	closed := make(chan struct{}, 1)
	f.upstream("desk", "d1", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		closed <- struct{}{}
	})
	f.wantStatus(http.StatusGatewayTimeout, http.MethodPost, "/confirm/", map[string]string{wire.HeaderTimeout: "50ms"})
	<-closed
}

// TestCallInProgressIsAnsweredAtShutdown checks that a call in progress gets a final response when the process
// must end.
func TestCallInProgressIsAnsweredAtShutdown(t *testing.T) {
	f := newFixture(t)
	arrived := make(chan struct{})
	f.upstream("desk", "d1", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	got := make(chan int, 1)
	go func() {
		resp, _, err := f.send(http.MethodPost, "/confirm/", nil)
		if err != nil {
			got <- 0
			return
		}
		got <- resp.StatusCode
	}()
	<-arrived
	f.service.cancelCalls()
	if status := <-got; status < 500 || status == http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
}

// TestReadiness checks when a load balancer may send callers to the process.
func TestReadiness(t *testing.T) {
	cases := map[string]struct {
		change func(*fixture)
		ready  bool
	}{
		"everything works":                   {func(*fixture) {}, true},
		"stopping":                           {func(f *fixture) { f.service.BeginStop() }, false},
		"no configuration yet":               {func(f *fixture) { f.service.table.Store(nil) }, false},
		"no quorum for a short time":         {func(f *fixture) { f.views.age = 3 * time.Second }, true},
		"no quorum, keys no longer count":    {func(f *fixture) { f.views.age = 5 * time.Second }, false},
		"another stage owner is being named": {func(f *fixture) { f.stages.silent = time.Second }, true},
		"the stage owner is unreachable":     {func(f *fixture) { f.stages.silent = 2 * time.Second }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c.change(f)
			w := httptest.NewRecorder()
			f.service.serveReady(w, httptest.NewRequest(http.MethodGet, "/", nil))
			if ready := w.Code == http.StatusOK; ready != c.ready {
				t.Fatalf("status %d", w.Code)
			}
		})
	}
}

// TestRefusalClosesTheConnection checks that a process that is not ready closes the connection of a refused
// call, as a kept connection would bring the caller back to it.
func TestRefusalClosesTheConnection(t *testing.T) {
	f := newFixture(t)
	for _, silent := range []time.Duration{0, time.Minute} {
		f.stages.silent = silent
		resp, _, err := f.send(http.MethodPost, "/nowhere/", nil)
		if err != nil || resp.Close != (silent > 0) {
			t.Fatalf("%v, closes %v after a silence of %v", err, resp.Close, silent)
		}
	}
}

// TestEventSplitter feeds a stream split at every position.
func TestEventSplitter(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda"
	for cut := range len(stream) {
		var e eventSplitter
		got := string(e.feed([]byte(stream[:cut]))) + string(e.feed([]byte(stream[cut:])))
		if !strings.HasPrefix(stream, got) || !strings.HasSuffix(got, "data: c\n\n") || e.lastID != "3" || string(e.pending) != "id: 4\nda" {
			t.Fatalf("cut at %d: %q, last %q, pending %q", cut, got, e.lastID, e.pending)
		}
	}
}

// TestChosenEngineTakesTheCall has the stage owner choose one of two engines: the call must go there, and an engine
// that does not answer is reported. Without a choice the process chooses by itself.
func TestChosenEngineTakesTheCall(t *testing.T) {
	for _, wanted := range []wire.MemberID{"e1", "e2", ""} {
		f := newFixture(t)
		calls := map[string]*callCounter{"e1": {}, "e2": {}}
		for id, c := range calls {
			f.upstream("llm", id, c.count(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\n\n") }))
		}
		f.stages.engine = wanted
		f.wantStatus(http.StatusOK, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
		if wanted != "" && calls[string(wanted)].n.Load() != 1 {
			t.Errorf("%s was chosen and got %d calls", wanted, calls[string(wanted)].n.Load())
		}
		f.stages.mu.Lock()
		if want := []stagework.EngineOutcome{stagework.EngineStarted}; wanted != "" && !slices.Equal(f.stages.outcomes, want) {
			t.Errorf("outcomes reported to the stage owner: %v", f.stages.outcomes)
		}
		f.stages.mu.Unlock()
		if sum := calls["e1"].n.Load() + calls["e2"].n.Load(); sum != 1 {
			t.Errorf("%d calls", sum)
		}
	}
	f := newFixture(t)
	f.upstream("llm", "broken", breakOff)
	f.stages.engine = "broken"
	f.wantStatus(http.StatusBadGateway, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
	f.stages.mu.Lock()
	defer f.stages.mu.Unlock()
	if !slices.Equal(f.stages.outcomes, []stagework.EngineOutcome{stagework.EngineFailed}) {
		t.Errorf("outcomes reported to the stage owner: %v", f.stages.outcomes)
	}
}

// TestChosenEngineThatIsReplacedIsReported has the stage owner choose an engine that refuses connections: another
// one must get the call, and the owner the report. Without it the owner would choose the same engine for every call
// until it is no longer a member.
func TestChosenEngineThatIsReplacedIsReported(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "other", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\n\n") })
	f.announceGone("llm")
	f.stages.engine = "gone"
	f.wantStatus(http.StatusOK, http.MethodPost, "/chat/", map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10"})
	f.stages.mu.Lock()
	defer f.stages.mu.Unlock()
	if !slices.Equal(f.stages.outcomes, []stagework.EngineOutcome{stagework.EngineFailed}) {
		t.Errorf("outcomes reported to the stage owner: %v", f.stages.outcomes)
	}
}

// TestChosenEngineFetches checks that only the chosen engine is told where to fetch parts of the prompt. An engine
// that replaces it reads them itself.
func TestChosenEngineFetches(t *testing.T) {
	for _, c := range []struct {
		path  string
		fails bool
	}{{"/chat/", false}, {"/quote/", false}, {"/quote/", true}} {
		f := newFixture(t)
		var mu sync.Mutex
		fetchFrom := map[string]string{}
		for _, id := range []string{"chosen", "other"} {
			f.upstream("llm", id, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				fetchFrom[id] = r.Header.Get("Caperdrum-Fetch-From")
				mu.Unlock()
				if c.fails && id == "chosen" {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, "id: 1\n\n")
			})
		}
		f.stages.engine, f.stages.fetchFrom = "chosen", "10.0.0.9:80"
		f.wantStatus(http.StatusOK, http.MethodPost, c.path, map[string]string{"Caperdrum-Prompt-Parts": "a:10,b:10", "Caperdrum-Pieces": "1", "Caperdrum-Fetch-From": "forged"})
		mu.Lock()
		if other, sent := fetchFrom["other"]; fetchFrom["chosen"] != "10.0.0.9:80" || other != "" || sent != c.fails {
			t.Errorf("%+v: Caperdrum-Fetch-From by engine: %v", c, fetchFrom)
		}
		mu.Unlock()
	}
}

// limitedIngress is a process that turns away new connections, or does not.
type limitedIngress bool

func (limitedIngress) Listen(l net.Listener, _ func() bool) net.Listener { return l }
func (limitedIngress) ConnState(net.Conn, http.ConnState)                {}
func (l limitedIngress) Limited() bool                                   { return bool(l) }
func (limitedIngress) NoteConnectionWait(string, time.Duration)          {}

// TestLimitedProcessClosesConnections guards against callers that stay, on open connections, at a process that cannot serve
// them.
func TestLimitedProcessClosesConnections(t *testing.T) {
	for _, limited := range []limitedIngress{false, true} {
		f := newFixture(t)
		f.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\n\n") })
		f.service.ingress = limited
		resp, _, err := f.send(http.MethodPost, "/chat/", nil)
		if err != nil || resp.StatusCode != http.StatusOK || resp.Close != bool(limited) {
			t.Errorf("limited %v: %v, %v", limited, resp, err)
		}
	}
}
