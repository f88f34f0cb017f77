package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// observedSource reports each look at the number of received bytes.
type observedSource struct {
	*peer.Client
	looked chan struct{}
}

// BytesReceived implements source.
func (o *observedSource) BytesReceived() uint64 {
	n := o.Client.BytesReceived()
	o.looked <- struct{}{}
	return n
}

// TestSlowReplyIsNotAbandoned sends a large reply over a slow link, in parts that each arrive within the grace
// period. The reply must not be abandoned: it would take as long at the next control process, and meanwhile
// this process would learn neither of leaving members nor of confirmations.
func TestSlowReplyIsNotAbandoned(t *testing.T) {
	const parts, between = 8, answerGrace * 3 / 4
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	src := &observedSource{peer.NewClient("c1", func(context.Context, string) (net.Conn, error) { return near, nil }), make(chan struct{}, 2*parts)}
	defer src.Close()
	s := &Service{holder: NewHolder(wire.Member{ID: "m"}), clock: clock, log: logr.Discard(), ring: timeline.NewRing("m", "v", 16),
		directory: peer.NewDirectory([]string{"c1"}), sources: []source{src}, wake: make(chan struct{}, 1)}
	done := make(chan error, 1)
	running, end := context.WithCancel(context.Background())
	go func() {
		defer end()
		done <- s.syncOnce(context.Background(), src, syncPlan{grace: answerGrace})
	}()
	var call struct {
		ID json.RawMessage `json:"id"`
	}
	if err := json.NewDecoder(far).Decode(&call); err != nil {
		t.Fatal(err)
	}
	<-src.looked // the first look; the timer is set by then
	text := "[service:s]\nkind = plain\n" + strings.Repeat("# a line of a long text\n", 1000)
	reply, err := json.Marshal(wire.SyncReply{Version: 1, Renewed: true, Config: &wire.ConfigText{Version: 1, Text: text, Hash: xxhash.Sum64String(text)}})
	if err != nil {
		t.Fatal(err)
	}
	answer := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":%s}`, call.ID, reply)
	for i := range parts {
		size := len(answer) * (i + 1) / parts
		if _, err := far.Write(answer[len(answer)*i/parts : size]); err != nil {
			t.Fatalf("part %d of %d: the call was abandoned: %v, %v", i+1, parts, err, <-done)
		}
		for src.Client.BytesReceived() < uint64(size) && running.Err() == nil {
			runtime.Gosched() // the bytes are counted after they were read
		}
		if i == parts-1 {
			break
		}
		clock.Advance(between)
		// A timer that has fired is set again once the loop has looked at the bytes.
		if clock.BlockUntilContext(running, 1) != nil {
			t.Fatalf("part %d of %d: the call was abandoned: %v", i+1, parts, <-done)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if v := s.View(); v == nil || v.Version != 1 {
		t.Fatalf("view: %+v", v)
	}
}

// TestStalledReplyIsAbandoned sends only the first part of a reply.
func TestStalledReplyIsAbandoned(t *testing.T) {
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	src := peer.NewClient("c1", func(context.Context, string) (net.Conn, error) { return near, nil })
	defer src.Close()
	s := &Service{holder: NewHolder(wire.Member{ID: "m"}), clock: clock, log: logr.Discard(), wake: make(chan struct{}, 1)}
	done := make(chan error, 1)
	go func() { done <- s.syncOnce(context.Background(), src, syncPlan{grace: answerGrace}) }()
	var call struct{}
	if err := json.NewDecoder(far).Decode(&call); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write([]byte(`{"jsonrpc":"2.0",`)); err != nil {
		t.Fatal(err)
	}
	for {
		select {
		case err := <-done:
			if err == nil {
				t.Fatal("a partial reply was accepted")
			}
			return
		default:
			clock.Advance(answerGrace / 2)
			time.Sleep(time.Millisecond) // lets the other goroutine run; the result does not depend on it
		}
	}
}
