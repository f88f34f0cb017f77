package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/admission"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/ledger"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/pipeline"
	"caperdrum.org/node/routing"
	"caperdrum.org/node/settings"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const text = `
[service:llm]
kind = engine
repeatable = true
[service:price-list]
kind = plain
repeatable = true
[service:order-desk]
kind = plain
[pipeline:chat]
deadline = 5s
model = desk-chat
[stage:chat/generate]
service = llm
[customer:foundry]
[customer:limited]
rate = 0.5
`

// fakeGate answers every attempt by calling respond, framed as a gate does.
type fakeGate struct {
	mu       sync.Mutex
	attempts int
	respond  func(w io.Writer, n int, path string, body []byte) (status int, contentType string)
}

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/")
	if !ok || strings.Contains(rest, "/") || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	g.mu.Lock()
	n := g.attempts
	g.attempts++
	g.mu.Unlock()
	var out bytes.Buffer
	status, contentType := g.respond(&out, n, r.Header.Get(wire.HeaderPath), body)
	h := w.Header()
	h.Set("Trailer", wire.TrailerEnd+","+wire.TrailerLength+","+wire.TrailerSum)
	h.Set(wire.HeaderAttempt, rest)
	h.Set(wire.HeaderIncarnation, r.Header.Get(wire.HeaderIncarnation))
	h.Set(wire.HeaderStage, r.Header.Get(wire.HeaderStage))
	h.Set(wire.HeaderUpstreamStatus, strconv.Itoa(status))
	h.Set("Content-Type", contentType)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	w.Write(out.Bytes())
	h.Set(wire.TrailerEnd, wire.EndWhole)
	h.Set(wire.TrailerLength, strconv.Itoa(out.Len()))
	h.Set(wire.TrailerSum, strconv.FormatUint(xxhash.Sum64(out.Bytes()), 16))
}

// system is a real entry in front of a fake gate and a fake control process.
type system struct {
	gate    *fakeGate
	service *Service
	entry   *httptest.Server
	sync    *configsync.Service
	stop    []func()
}

// newSystem starts an entry. The functions in first are called with every view before the entry's own
// services are.
func newSystem(members bool, first ...func(*configsync.View)) *system {
	s := &system{gate: &fakeGate{respond: func(w io.Writer, _ int, _ string, body []byte) (int, string) {
		w.Write(body)
		return http.StatusOK, "application/json"
	}}}
	gate := httptest.NewServer(s.gate)
	control := s.startControl(gate.Listener.Addr().String(), members)
	set := &settings.Settings{
		Node:  settings.Node{Name: "entry-1", VM: "vm", DataCenter: "here", Roles: []string{"entry"}},
		Peers: settings.Peers{Control: []string{control}},
		Entry: settings.EntryRole{MaxBodyBytes: 1 << 10, StaleAfter: time.Hour, MaxInFlight: 100},
	}
	ring := timeline.NewRing("entry-1", "vm", 64)
	sync := configsync.New(configsync.Params{Settings: set, Log: logr.Discard(), Ring: ring, Dial: peer.DialTCP})
	s.sync = sync
	for _, f := range first {
		sync.OnChange(f)
	}
	routes := routing.New(routing.Params{Settings: set, Sync: sync})
	sender := dispatch.New(dispatch.Params{Ring: ring, Sync: sync})
	admit := admission.New(admission.Params{Settings: set, Sync: sync})
	pipes := pipeline.New(pipeline.Params{Ring: ring, Sync: sync, Routing: routes, Dispatch: sender, Admission: admit})
	keys := ledger.New(ledger.Params{Ring: ring, Sync: sync, Routing: routes, Dispatch: sender})
	s.service = New(Params{Settings: set, Log: logr.Discard(), Ring: ring, Sync: sync, Admission: admit, Pipeline: pipes, Ledger: keys})
	s.entry = httptest.NewServer(s.service.server.Handler)
	Expect(sync.Start(context.Background())).To(Succeed())
	s.stop = append(s.stop, gate.Close, s.entry.Close, func() { sync.Stop(context.Background()) })
	return s
}

func (s *system) startControl(gate string, members bool) string {
	server := peer.NewServer()
	peer.Handle(server, configsync.MethodSync, func(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
		reply := &wire.SyncReply{Version: 1, MembersSeq: 1, Renewed: true, Recorded: true}
		if r.ConfigVersion == 0 {
			reply.Config = &wire.ConfigText{Version: 1, Text: text, Hash: xxhash.Sum64String(text)}
		}
		if r.MembersSeq == 0 {
			reply.Members = &wire.MembersDelta{To: 1, Whole: true, Changed: []wire.Member{{ID: "entry-1", Role: "entry"}}}
			for _, service := range []string{"llm", "price-list", "order-desk"} {
				if members {
					reply.Members.Changed = append(reply.Members.Changed, wire.Member{ID: wire.MemberID(service + "-1"), Role: "agent", Service: service, Gate: gate})
				}
			}
		} else {
			time.Sleep(10 * time.Millisecond)
		}
		return reply, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go server.Serve(l)
	s.stop = append(s.stop, func() { l.Close() }, server.Close)
	return l.Addr().String()
}

func (s *system) close() {
	for i := range s.stop {
		s.stop[len(s.stop)-1-i]()
	}
}

func (s *system) do(method, path, customer, body string, headers ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, s.entry.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if customer != "" {
		req.Header.Set(wire.HeaderCustomer, customer)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

// listen starts the gateway's own HTTP server and returns its address.
func (s *system) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go s.service.server.Serve(l)
	s.stop = append(s.stop, func() { s.service.server.Close() })
	s.entry.URL = "http://" + l.Addr().String()
	return l.Addr().String()
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"desk-chat","messages":[{"role":"user","content":"q"}]}`
)

var _ = Describe("An entry", func() {
	var s *system
	start := func(members bool) {
		s = newSystem(members)
		DeferCleanup(s.close)
		Eventually(s.service.notReady, "30s").Should(BeEmpty())
	}

	DescribeTable("refuses invalid requests at once and names the remedy",
		func(method, path, customer, body string, status int, code, remedy string, headers ...string) {
			start(true)
			resp, data := s.do(method, path, customer, body, headers...)
			Expect(resp.StatusCode).To(Equal(status), data)
			var e errorBody
			Expect(json.Unmarshal([]byte(data), &e)).To(Succeed())
			Expect(string(e.Error.Code)).To(Equal(code))
			Expect(e.Error.Message).To(ContainSubstring(remedy))
			Expect(e.Error.Verdict.String()).To(Equal("not-run"))
			Expect(resp.Header.Get(wire.HeaderVerdict)).To(Equal("not-run"))
			Expect(e.Error.Type).To(Equal("invalid_request_error"))
			Expect(s.gate.attempts).To(BeZero())
		},
		Entry("bad JSON", "POST", chatPath, "foundry", "{", 400, "invalid_request", "JSON"),
		Entry("messages that are not a list", "POST", chatPath, "foundry", `{"model":"desk-chat","messages":"hi"}`, 400, "invalid_request", "list"),
		Entry("no messages", "POST", chatPath, "foundry", `{"model":"desk-chat"}`, 400, "invalid_request", "no messages"),
		Entry("unknown model", "POST", chatPath, "foundry", `{"model":"x","messages":[]}`, 404, "not_found", "model"),
		Entry("unknown pipeline", "POST", "/v1/pipelines/x", "foundry", "{}", 404, "not_found", "operators' text"),
		Entry("unknown service", "POST", "/v1/services/x/y", "foundry", "{}", 404, "not_found", "operators' text"),
		Entry("no customer", "POST", chatPath, "", chatBody, 400, "invalid_request", wire.HeaderCustomer),
		Entry("unknown customer", "POST", chatPath, "x", chatBody, 400, "invalid_request", wire.HeaderCustomer),
		Entry("oversized body", "POST", chatPath, "foundry", strings.Repeat("x", 1<<10+1), 413, "body_too_large", "max_body_bytes"),
		Entry("bad timeout", "POST", chatPath, "foundry", chatBody, 400, "invalid_request", "1.5s", wire.HeaderTimeout, "soon"),
		Entry("wrong method", "GET", chatPath, "foundry", "", 405, "invalid_request", "POST"),
		Entry("unknown path", "POST", "/v2", "foundry", "", 404, "not_found", "/v1/chat/completions"),
	)

	It("refuses oversized headers", func() {
		start(true)
		s.listen()
		resp, _ := s.do("GET", "/healthz", "", "", "X-Large", strings.Repeat("x", 2*maxHeaderBytes))
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("limits a customer to its rate and sets Retry-After", func() {
		start(true)
		first, _ := s.do("POST", "/v1/services/price-list/p", "limited", "{}")
		second, data := s.do("POST", "/v1/services/price-list/p", "limited", "{}")
		Expect(first.StatusCode).To(Equal(200))
		Expect(second.StatusCode).To(Equal(429), data)
		Expect(second.Header.Get(wire.HeaderVerdict)).To(Equal("not-run"))
		Expect(strconv.Atoi(second.Header.Get(wire.HeaderRetryAfter))).To(BeNumerically(">=", 1))
		Expect(data).To(ContainSubstring(`"rate_limit_error"`))
	})

	It("refuses at once when no endpoint can take the call", func() {
		start(false)
		resp, _ := s.do("POST", chatPath, "foundry", chatBody, wire.HeaderTimeout, "1h")
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get(wire.HeaderVerdict)).To(Equal("not-run"))
		Expect(resp.Header.Get(wire.HeaderRetryAfter)).NotTo(BeEmpty())
	})

	It("forwards a chat request unchanged, including unknown fields, and lists its models", func() {
		start(true)
		body := `{"model":"desk-chat", "messages":[{"role":"user","content":"q"}],"stream_options":{"include_usage":true},"x":[1]}`
		resp, data := s.do("POST", chatPath, "foundry", body)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(data).To(Equal(body))
		Expect(resp.Header.Get(wire.HeaderVerdict)).To(Equal("ran"))
		_, data = s.do("GET", "/v1/models", "", "")
		Expect(data).To(MatchJSON(`{"object":"list","data":[{"id":"desk-chat","object":"model","created":0,"owned_by":"caperdrum"}]}`))
	})

	It("retries a 5xx of a repeatable service only", func() {
		start(true)
		s.gate.respond = func(w io.Writer, n int, _ string, _ []byte) (int, string) {
			fmt.Fprint(w, n)
			if n%2 == 0 {
				return 500, "text/plain"
			}
			return 200, "text/plain"
		}
		resp, data := s.do("GET", "/v1/services/price-list/p", "foundry", "")
		Expect(resp.StatusCode).To(Equal(200), data)
		Expect(s.gate.attempts).To(Equal(2))
		all := fmt.Sprint(attainmentVar.Get("service:order-desk.all"))
		whole := fmt.Sprint(attainmentVar.Get("service:order-desk.whole"))
		resp, _ = s.do("POST", "/v1/services/order-desk/o", "foundry", "{}")
		Expect(resp.StatusCode).To(Equal(500))
		Expect(s.gate.attempts).To(Equal(3))
		Eventually(func() string { return fmt.Sprint(attainmentVar.Get("service:order-desk.all")) }, "30s").ShouldNot(Equal(all))
		Expect(fmt.Sprint(attainmentVar.Get("service:order-desk.whole"))).To(Equal(whole), "a 5xx counted as attained")
	})

	It("is not ready before its services have applied the first view", func() {
		proceed := make(chan struct{})
		release := sync.OnceFunc(func() { close(proceed) })
		s = newSystem(true, func(*configsync.View) { <-proceed })
		DeferCleanup(s.close)
		DeferCleanup(release)                             // before close, which waits for the blocked callback
		Eventually(s.sync.View, "30s").ShouldNot(BeNil()) // the view has arrived
		Expect(s.service.notReady()).To(Equal("no configuration yet"))
		Expect(s.sync.StampAge()).To(BeNumerically(">", time.Hour), "a view counts as confirmed before it is applied")
		release()
		Eventually(s.service.notReady, "30s").Should(BeEmpty())
		resp, data := s.do("POST", "/v1/services/price-list/p", "foundry", "{}")
		Expect(resp.StatusCode).To(Equal(200), data)
	})

	It("is ready until it stops, and stopping interrupts no request", func() {
		start(true)
		arrived, proceed := make(chan struct{}), make(chan struct{})
		s.gate.respond = func(w io.Writer, _ int, _ string, _ []byte) (int, string) {
			close(arrived)
			<-proceed
			io.WriteString(w, "whole")
			return 200, "text/plain"
		}
		address := s.listen()
		resp, _ := s.do("GET", "/readyz", "", "")
		Expect(resp.StatusCode).To(Equal(200))
		answered := make(chan string)
		go func() {
			defer GinkgoRecover()
			_, data := s.do("POST", "/v1/services/order-desk/o", "foundry", "{}")
			answered <- data
		}()
		Eventually(arrived, "30s").Should(BeClosed())
		stopped := make(chan error)
		go func() { stopped <- s.service.Stop(context.Background()) }()
		Eventually(s.service.notReady, "30s").Should(Equal("draining"))
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err
		}, "30s").Should(HaveOccurred()) // the listener is closed, the request is still in flight
		Expect(stopped).NotTo(Receive())
		close(proceed)
		Eventually(answered, "30s").Should(Receive(Equal("whole")))
		Eventually(stopped, "30s").Should(Receive(BeNil()))
	})
})
