package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/upstream"
)

// rawUpstream answers each call with bytes of the test's choice, on connections that net/http does not frame.
type rawUpstream struct {
	listener    net.Listener
	answer      func(lastEvent string) rawAnswer
	service, id string
	starts      uint64 // the incarnation that is announced
}

// rawAnswer is what a rawUpstream writes, and how it ends the connection then.
type rawAnswer struct {
	bytes string
	reset bool
	crash bool // the upstream's process ends: nothing listens at its address
}

func (f *fixture) rawUpstream(service, id string, answer func(lastEvent string) rawAnswer) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	u := &rawUpstream{listener: l, answer: answer, service: service, id: id, starts: 1}
	go u.run()
	f.announce(service, append(f.view.Announced[service], u.member()))
	return u
}

func (u *rawUpstream) member() wire.Member {
	return wire.Member{ID: wire.MemberID(u.id), Incarnation: u.starts, Service: u.service, Version: "v1", Direct: u.listener.Addr().String()}
}

func (u *rawUpstream) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c.(*net.TCPConn))
	}
}

func (u *rawUpstream) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // a probe
	}
	io.Copy(io.Discard, r.Body)
	a := u.answer(r.Header.Get("Last-Event-Id"))
	io.WriteString(c, a.bytes)
	if a.crash {
		u.listener.Close()
	}
	if a.reset {
		time.Sleep(time.Millisecond) // a reset discards what its receiver has not read
		c.SetLinger(0)
	}
}

// frame returns the bytes of a response with the body in the framing.
func frame(framing upstream.Framing, contentType, body string) string {
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": try-1\r\nContent-Type: " + contentType + "\r\nReceipt: r1\r\n"
	switch framing {
	case upstream.FramedByLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case upstream.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for event := range strings.SplitAfterSeq(body, "\n\n") {
			if event != "" {
				head += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
		}
		return head + "0\r\n\r\n"
	default:
		return head + "Connection: close\r\n\r\n" + body
	}
}

// callerKind is a kind of connection on which callers wait for an answer.
type callerKind struct{ name, protocol, header string }

var (
	callersOfChunks = []callerKind{{"HTTP/1.1", "HTTP/1.1", ""}, {"HTTP/1.1, which closes", "HTTP/1.1", "Connection: close\r\n"}}
	callersOfHTTP10 = []callerKind{{"HTTP/1.0", "HTTP/1.0", ""}, {"HTTP/1.0, which keeps connections", "HTTP/1.0", "Connection: keep-alive\r\n"}}
)

// ask sends a call as such a caller does. The error is io.ErrUnexpectedEOF or that of the connection if the answer is
// visibly incomplete.
func (k callerKind) ask(f *fixture, path string) (status int, body string, err error) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s %s\r\nHost: desk.example\r\nAuthorization: Bearer secret\r\n%s: try-1\r\nContent-Length: 4\r\n%s\r\nbody", path, k.protocol, wire.HeaderRequestID, k.header)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

const (
	wholeStream    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	typeOfStream   = "text/event-stream"
	typeOfPlain    = "application/octet-stream"
	wholePlainBody = "confirmed"
)

// eventsAfter returns the rest of wholeStream after the event with the id.
func eventsAfter(id string) string {
	for i, event := range strings.SplitAfter(wholeStream, "\n\n") {
		if fmt.Sprint(i+1) == id {
			_, rest, _ := strings.Cut(wholeStream, event)
			return rest
		}
	}
	return wholeStream
}

// checkAnswer checks what a caller got of an upstream's answer with the body whole: all of it, or whole events of it and
// a visible end, or a refusal.
func checkAnswer(t *testing.T, what string, status int, body, whole string, err error) (complete bool) {
	t.Helper()
	switch {
	case status != http.StatusOK:
		return false // refused, or cut before the head of the answer
	case err == nil && body != whole:
		t.Errorf("%s: looks complete and is %q", what, body)
	case !strings.HasPrefix(whole, body):
		t.Errorf("%s: %q is no beginning of the answer", what, body)
	case err != nil && body != "" && !strings.HasSuffix(body, "\n\n"):
		t.Errorf("%s: got a part of an event: %q", what, body)
	}
	return err == nil
}

// TestBrokenOffStreamNeverLooksComplete guards against a stream that its upstream breaks off and that its caller takes
// for complete, or that is not continued elsewhere, for every framing, every byte at which it ends and every kind of end.
// An upstream that closes its connection between two events, states no end and still runs cannot be told from one that is
// done.
func TestBrokenOffStreamNeverLooksComplete(t *testing.T) {
	testCutStreams(t, callersOfChunks)
	for _, framing := range framings {
		t.Run(fmt.Sprint(framing, "/goes on"), func(t *testing.T) { testCutStreamsGoOn(t, framing) })
	}
}

// TestBrokenOffStreamIsResetForHTTP10 guards against an aborted stream whose connection is closed in order: to callers of
// HTTP/1.0, which know no chunks, it looks complete.
func TestBrokenOffStreamIsResetForHTTP10(t *testing.T) { testCutStreams(t, callersOfHTTP10) }

var framings = []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByClose}

func testCutStreams(t *testing.T, kinds []callerKind) {
	for _, framing := range framings {
		for _, reset := range []bool{false, true} {
			for _, path := range []string{"/chat/", "/quote/"} {
				t.Run(fmt.Sprint(framing, "/reset=", reset, path), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					var sends atomic.Pointer[string]
					u := f.rawUpstream("llm", "cuts", func(string) rawAnswer { return rawAnswer{bytes: *sends.Load(), reset: reset} })
					for _, sent := range cutAnswers(framing, reset) {
						sends.Store(&sent)
						for _, kind := range kinds {
							f.testCutStream(u, sent, path, kind)
						}
					}
				})
			}
		}
	}
}

// headCuts is the distance in bytes between two cuts of the head of an answer; its body is cut at each byte.
const headCuts = 8

// cutAnswers returns the beginnings of an answer from which its caller can be told that it was broken off.
func cutAnswers(framing upstream.Framing, reset bool) (out []string) {
	whole := frame(framing, typeOfStream, wholeStream)
	headEnd := strings.Index(whole, "\r\n\r\n") + 4
	for cut := range len(whole) {
		nothingTells := framing == upstream.FramedByClose && !reset && cut > headEnd && strings.HasSuffix(whole[:cut], "\n\n")
		if (cut >= headEnd || cut%headCuts == 0) && !nothingTells {
			out = append(out, whole[:cut])
		}
	}
	return out
}

// testCutStream has the upstream, which has no failures before, break its answer off after the bytes sent.
func (f *fixture) testCutStream(u *rawUpstream, sent, path string, kind callerKind) {
	u.starts++
	f.announce("llm", []wire.Member{u.member()})
	what := fmt.Sprintf("%s, broken off after %q", kind.name, sent)
	status, got, err := kind.ask(f, path)
	if checkAnswer(f.t, what, status, got, wholeStream, err) {
		f.t.Errorf("%s: complete although its upstream broke off", what)
	}
}

// testCutStreamsGoOn has a stream end within an event: the caller must get each event once.
func testCutStreamsGoOn(t *testing.T, framing upstream.Framing) {
	for cut := range len(wholeStream) {
		if strings.HasSuffix(wholeStream[:cut], "\n\n") || cut == 0 && framing != upstream.FramedByClose {
			continue
		}
		f := newFixture(t)
		var asked []string
		f.rawUpstream("llm", "cuts", func(string) rawAnswer {
			return rawAnswer{bytes: frame(framing, typeOfStream, wholeStream[:cut])}
		})
		f.rawUpstream("llm", "goes on", func(last string) rawAnswer {
			asked = append(asked, last)
			return rawAnswer{bytes: frame(upstream.FramedByChunks, typeOfStream, eventsAfter(last))}
		})
		f.stages.engine = "cuts"
		_, got, err := f.send(http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10"})
		if err != nil || got != wholeStream {
			t.Fatalf("ended after %d bytes: %v, %q; asked to go on after %q", cut, err, got, asked)
		}
	}
}

// TestAnswerOfACrashedUpstreamIsNotWhole guards against an upstream that ends in the middle of an answer without a length
// or chunks: the kernel closes its connection in order.
func TestAnswerOfACrashedUpstreamIsNotWhole(t *testing.T) {
	testAnswersOfAGoneUpstream(t, "stays")
	for cut := range len(wholePlainBody) {
		f := newFixture(t)
		var calls atomic.Int32
		for _, id := range []string{"d1", "d2"} { // the first one that is asked crashes
			f.rawUpstream("desk", id, func(string) rawAnswer {
				if calls.Add(1) == 1 {
					return rawAnswer{bytes: frame(upstream.FramedByClose, typeOfPlain, wholePlainBody[:cut]), crash: true}
				}
				return rawAnswer{bytes: frame(upstream.FramedByClose, typeOfPlain, wholePlainBody)}
			})
		}
		if got := f.wantStatus(http.StatusOK, http.MethodPost, "/reserve/", nil); got != wholePlainBody {
			t.Fatalf("crashed after %d bytes: got %q, want the answer of the other upstream", cut, got)
		}
	}
}

// TestAnswerOfALeavingUpstreamThatIsGoneIsNotWhole guards against an upstream that is taken away while it leaves, in the
// middle of an answer without a length or chunks, whatever is known of its leaving.
func TestAnswerOfALeavingUpstreamThatIsGoneIsNotWhole(t *testing.T) {
	for _, state := range []string{"leaves", "has left"} {
		testAnswersOfAGoneUpstream(t, state)
	}
}

// testAnswersOfAGoneUpstream has an upstream end at each byte of a stream and of a plain answer.
func testAnswersOfAGoneUpstream(t *testing.T, state string) {
	t.Helper()
	for cut := range len(wholeStream) {
		for _, kind := range append(callersOfChunks, callersOfHTTP10...) {
			f := newFixture(t)
			f.rawUpstream("llm", "crashes", func(string) rawAnswer {
				f.leave("llm", state)
				return rawAnswer{bytes: frame(upstream.FramedByClose, typeOfStream, wholeStream[:cut]), crash: true}
			})
			what := fmt.Sprintf("stream of one that %s, gone after %d bytes, %s", state, cut, kind.name)
			status, got, err := kind.ask(f, "/chat/")
			if checkAnswer(t, what, status, got, wholeStream, err) {
				t.Fatalf("%s: %q looks complete", what, got)
			}
		}
	}
	for cut := range len(wholePlainBody) {
		f := newFixture(t)
		f.rawUpstream("desk", "crashes", func(string) rawAnswer {
			f.leave("desk", state)
			return rawAnswer{bytes: frame(upstream.FramedByClose, typeOfPlain, wholePlainBody[:cut]), crash: true}
		})
		f.wantStatus(http.StatusBadGateway, http.MethodPost, "/confirm/", nil)
	}
}

// leave has the first upstream of the service leave while calls are at it: it is marked, or no longer a member.
func (f *fixture) leave(service, state string) {
	switch m := f.view.Announced[service][0]; state {
	case "leaves":
		m.Leaving = true
		f.announce(service, []wire.Member{m})
	case "has left":
		f.removeMember(m.ID)
	}
}

// TestWholeAnswerWithoutALengthIsDelivered guards against whole answers that end with their connection and are taken for
// broken off, also when their upstream leaves: it serves until it exits, after its answers.
func TestWholeAnswerWithoutALengthIsDelivered(t *testing.T) {
	for _, c := range []struct {
		service, path, contentType, body string
	}{{"llm", "/chat/", typeOfStream, wholeStream}, {"llm", "/quote/", typeOfStream, wholeStream}, {"desk", "/confirm/", typeOfPlain, wholePlainBody}, {"desk", "/confirm/", typeOfPlain, ""}} {
		for _, state := range []string{"stays", "leaves", "has left"} {
			for _, kind := range append(callersOfChunks, callersOfHTTP10...) {
				f := newFixture(t)
				f.rawUpstream(c.service, "u1", func(string) rawAnswer {
					f.leave(c.service, state)
					return rawAnswer{bytes: frame(upstream.FramedByClose, c.contentType, c.body)}
				})
				if status, got, err := kind.ask(f, c.path); status != http.StatusOK || got != c.body || err != nil {
					t.Errorf("%s, %s, %s: %d, %q, %v", c.path, state, kind.name, status, got, err)
				}
			}
		}
	}
}

// TestSuspectIsClearedByAnAnswerWithoutALength guards against innocent calls that stay suspects because their upstreams
// answer without a length: once the answer has ended and its upstream still runs, the call did not crash it.
func TestSuspectIsClearedByAnAnswerWithoutALength(t *testing.T) {
	f := newFixture(t)
	r := f.collectReports()
	f.rawUpstream("desk", "d1", func(string) rawAnswer {
		return rawAnswer{bytes: frame(upstream.FramedByClose, typeOfPlain, wholePlainBody)}
	})
	sketch := quarantine.Call{Customer: "foundry", Method: http.MethodPost, Host: "desk.example", Target: "/confirm/", Body: []byte("body")}.Sketch("confirm")
	f.setSuspect(sketch, 1, false)
	f.wantStatus(http.StatusOK, http.MethodPost, "/confirm/", nil)
	if crashes, answered := r.await(t, 1); len(crashes) != 0 || len(answered) != 1 || answered[0].Fingerprint != sketch.Fingerprint {
		t.Fatalf("%+v, %+v", crashes, answered)
	}
}
