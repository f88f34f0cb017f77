package configsync

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// TestUnresponsiveControlsAreSkippedWithinTheLease lets the current control process and the one after it accept
// calls and never answer. The lease must be renewed in time.
func TestUnresponsiveControlsAreSkippedWithinTheLease(t *testing.T) {
	const lease, controls = 3 * time.Second, 3
	hang := errors.New("no answer")
	p, _ := initialPlan().after(nil, controls)
	silent := p.wait // the lease was last renewed at the start of the long poll
	for range controls - 1 {
		silent += p.wait + p.grace
		var moveOn bool
		if p, moveOn = p.after(hang, controls); !moveOn {
			t.Fatal("stays with a control process that does not answer")
		}
		silent += p.pause
	}
	if silent >= lease {
		t.Fatalf("no renewal for %s of a lease of %s", silent, lease)
	}
	for range 100 { // a long time without any answer
		p, _ = p.after(hang, controls)
		if p.pause > maxPause || p.wait+p.grace > maxAnswerGrace {
			t.Fatalf("plan %+v", p)
		}
	}
}

// TestTrafficTriggersOneSyncPerVersion guards against busy traffic that aborts each call before its answer.
func TestTrafficTriggersOneSyncPerVersion(t *testing.T) {
	s := &Service{holder: NewHolder(wire.Member{}), clock: clockwork.NewFakeClock(), wake: make(chan struct{}, 1)}
	poked := func() bool {
		select {
		case <-s.wake:
			return true
		default:
			return false
		}
	}
	text := "[data_center:a]\n"
	first := wire.SyncReply{Version: 3, Config: &wire.ConfigText{Version: 3, Text: text, Hash: xxhash.Sum64String(text)}}
	if _, err := s.holder.Apply(&first, time.Unix(1000, 0)); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		version uint64
		want    bool
	}{{3, false}, {5, true}, {5, false}, {4, false}, {6, true}} {
		s.ObserveVersion(c.version)
		if poked() != c.want {
			t.Fatalf("step %d: version %d triggered a synchronization: %v", i, c.version, !c.want)
		}
	}
}

// scriptedSource is a control process that returns the replies in turn, and then repeats the last one.
type scriptedSource struct {
	address string
	replies []wire.SyncReply
	calls   int
}

func (a *scriptedSource) Poll(_ context.Context, _ time.Duration, _ string, _, result any) error {
	*result.(*wire.SyncReply) = a.replies[min(a.calls, len(a.replies)-1)]
	a.calls++
	return nil
}
func (a *scriptedSource) Address() string       { return a.address }
func (a *scriptedSource) BytesReceived() uint64 { return 0 }
func (a *scriptedSource) Close()                {}

// TestDeregisterWaitsUntilRecorded returns two replies without the record, and then one with it.
func TestDeregisterWaitsUntilRecorded(t *testing.T) {
	src := &scriptedSource{replies: []wire.SyncReply{{Renewed: true}, {Renewed: true}, {Renewed: true, Recorded: true}}}
	s := &Service{holder: NewHolder(wire.Member{}), clock: clockwork.NewRealClock(), sources: []source{src}}
	s.deregister(context.Background())
	if src.calls != 3 {
		t.Fatalf("%d calls", src.calls)
	}
}

// TestSilentControlIsAvoidedWhileOthersAnswer has one silent control process, while the others answer without
// a leader. The silent one must not be asked again until avoidTime has passed. If none answers, all must be
// asked.
func TestSilentControlIsAvoidedWhileOthersAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Service{clock: clock, sources: []source{&scriptedSource{address: "a"}, &scriptedSource{address: "b"}, &scriptedSource{address: "c"}}, unanswered: map[string]time.Time{}}
	var asked []int
	for _, err := range []error{errors.New("no answer"), errNotRenewed, errNotRenewed, errNotRenewed} {
		s.nextSource(err)
		asked = append(asked, s.current)
	}
	clock.Advance(avoidTime + 1)
	for range 4 {
		s.nextSource(errors.New("no answer"))
		asked = append(asked, s.current)
	}
	if want := []int{1, 2, 1, 2, 0, 1, 2, 0}; !slices.Equal(asked, want) {
		t.Fatalf("asked %v, want %v", asked, want)
	}
}

// hangingSource is a control process that accepts calls and never answers.
type hangingSource struct {
	address string
	asked   chan struct{}
}

func (h *hangingSource) Poll(ctx context.Context, _ time.Duration, _ string, _, _ any) error {
	h.asked <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}
func (h *hangingSource) Address() string       { return h.address }
func (h *hangingSource) BytesReceived() uint64 { return 0 }
func (h *hangingSource) Close()                {}

// TestLongPollLeavesASuspectedVM starts a long poll at a VM on which another process does not answer. The poll must
// end without advancing the clock, and the control process there must be asked last. Reports about other VMs
// must have no effect.
func TestLongPollLeavesASuspectedVM(t *testing.T) {
	src := &hangingSource{address: "10.0.0.1:7101", asked: make(chan struct{}, 1)}
	s := &Service{holder: NewHolder(wire.Member{}), clock: clockwork.NewFakeClock(), wake: make(chan struct{}, 1), unresponsive: make(chan string), unanswered: map[string]time.Time{}, sources: []source{src, &scriptedSource{address: "10.0.0.2:7101"}}}
	ended := make(chan error, 1)
	go func() { ended <- s.syncOnce(context.Background(), src, syncPlan{wait: syncWait, grace: answerGrace}) }()
	<-src.asked
	s.unresponsive <- "10.0.0.11:7000"
	s.unresponsive <- "not an address"
	select {
	case err := <-ended:
		t.Fatalf("ended by a report about another VM: %v", err)
	default:
	}
	s.unresponsive <- "10.0.0.1:7000"
	err := <-ended
	if err == nil {
		t.Fatal("no error")
	}
	if s.nextSource(err); s.current != 1 || len(s.unanswered) != 1 {
		t.Fatalf("asks source %d next, %v did not answer", s.current, s.unanswered)
	}
}
