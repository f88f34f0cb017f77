package stagework

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/peer"
)

// fakeOwner is a process that answers jobs as the test tells it.
type fakeOwner struct {
	server  *peer.Server
	address string
	arrived chan string
	updates chan ProgressUpdate
	answer  map[string]chan error // by job
	results map[string]Result     // by job; written before its answer
	jobs    sync.Map              // by ID, as submitted
}

func newFakeOwner(t *testing.T, jobs ...string) *fakeOwner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &fakeOwner{server: peer.NewServer(), address: l.Addr().String(), arrived: make(chan string, 16), updates: make(chan ProgressUpdate, 16), answer: map[string]chan error{}, results: map[string]Result{}}
	for _, id := range jobs {
		o.answer[id] = make(chan error, 1)
	}
	peer.Handle(o.server, methodRun, func(ctx context.Context, j *Job) (*Result, error) {
		o.jobs.Store(j.ID, *j)
		o.arrived <- j.ID
		select {
		case err := <-o.answer[j.ID]:
			if r, given := o.results[j.ID]; given {
				return &r, err
			}
			return &Result{Handles: []string{j.ID}}, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	peer.Handle(o.server, methodDone, func(context.Context, *Done) (*peer.Empty, error) { return &peer.Empty{}, nil })
	peer.Handle(o.server, methodProgress, func(_ context.Context, list *[]ProgressUpdate) (*peer.Empty, error) {
		for _, n := range *list {
			o.updates <- n
		}
		return &peer.Empty{}, nil
	})
	peer.Handle(o.server, peer.MethodPing, peer.Ping)
	go o.server.Serve(l)
	t.Cleanup(func() {
		l.Close()
		o.server.Close()
	})
	return o
}

func newClientService(t *testing.T) *Service {
	s := &Service{log: logr.Discard(), notices: noNotices(), link: newOwnerLink(peer.DialTCP, logr.Discard()), submissions: newSubmissions(), address: func() string { return "" }}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		s.cancel()
		s.link.close()
	})
	return s
}

type runAnswer struct {
	result Result
	err    error
}

func (s *Service) runAsync(ctx context.Context, id string) chan runAnswer {
	out := make(chan runAnswer, 1)
	go func() {
		r, _, err := s.Run(ctx, Job{ID: id, TimeLeft: time.Minute, Goal: time.Minute})
		out <- runAnswer{r, err}
	}()
	return out
}

// TestDeadlineOfOneJobLeavesTheOthers has the deadline of one of two jobs pass: the other one stays at the owner
// and gets its answer, without a second run.
func TestDeadlineOfOneJobLeavesTheOthers(t *testing.T) {
	o := newFakeOwner(t, "short", "long")
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "o", Peer: o.address, Epoch: 1}, false)
	long := s.runAsync(context.Background(), "long")
	<-o.arrived
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(50*time.Millisecond))
	defer cancel()
	short := s.runAsync(ctx, "short")
	<-o.arrived
	if a := <-short; verdict.Of(a.err) != verdict.NotRun {
		t.Fatalf("the job past its deadline: %v", a.err)
	}
	o.answer["long"] <- nil
	if a := <-long; a.err != nil || len(a.result.Handles) != 1 {
		t.Fatalf("the other job: %+v", a)
	}
	select {
	case id := <-o.arrived:
		t.Fatalf("%s was resubmitted", id)
	default:
	}
}

// TestJobMovesToTheNextOwner names another owner while a job is in progress.
func TestJobMovesToTheNextOwner(t *testing.T) {
	first, second := newFakeOwner(t, "job"), newFakeOwner(t, "job")
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "a", Peer: first.address, Epoch: 1}, false)
	got := s.runAsync(context.Background(), "job")
	<-first.arrived
	s.link.setOwner(wire.StageOwner{ID: "b", Peer: second.address, Epoch: 2}, false)
	<-second.arrived
	second.answer["job"] <- nil
	if a := <-got; a.err != nil {
		t.Fatal(a.err)
	}
	s.link.setOwner(wire.StageOwner{ID: "a", Peer: first.address, Epoch: 1}, false)
	if s.link.owner.ID != "b" {
		t.Fatal("an older epoch was accepted")
	}
}

// TestJobStaysAtTheOwnerDuringAHandover names another owner while a job is in progress at one that leaves as
// planned: the job stays until that one answers, and continues at the next from the completed stages.
func TestJobStaysAtTheOwnerDuringAHandover(t *testing.T) {
	first, second := newFakeOwner(t, "job"), newFakeOwner(t, "job")
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "a", Incarnation: 1, Peer: first.address, Epoch: 1}, false)
	got := s.runAsync(context.Background(), "job")
	<-first.arrived
	leaving := memberset.Of(wire.Member{ID: "a", Incarnation: 1, Leaving: true})
	if !s.link.handsOver(leaving) || s.link.handsOver(memberset.Of(wire.Member{ID: "a", Incarnation: 2, Leaving: true})) || s.link.handsOver(memberset.Set{}) {
		t.Fatal("wrong answer on whether the owner hands over")
	}
	s.link.setOwner(wire.StageOwner{ID: "b", Peer: second.address, Epoch: 2}, true)
	select {
	case <-second.arrived:
		t.Fatal("the job left before it was answered")
	default:
	}
	first.results["job"] = Result{Moved: true, CompletedStages: []CompletedStage{{Stage: 0, Pieces: []ResultLocation{{Handle: "h"}}}}}
	first.answer["job"] <- nil
	<-second.arrived
	taken, _ := second.jobs.Load("job")
	if j := taken.(Job); !j.Resubmitted || len(j.CompletedStages) != 1 || j.CompletedStages[0].Pieces[0].Handle != "h" {
		t.Fatalf("submitted as %+v", j)
	}
	second.answer["job"] <- nil
	if a := <-got; a.err != nil || a.result.Moved {
		t.Fatalf("got %+v", a)
	}
}

// TestRefusalOfTheOwnerIsFinal passes the owner's verdict on, and looks for another owner only if the verdict
// is that this one is not the owner.
func TestRefusalOfTheOwnerIsFinal(t *testing.T) {
	o := newFakeOwner(t, "job")
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "o", Peer: o.address, Epoch: 1}, false)
	got := s.runAsync(context.Background(), "job")
	<-o.arrived
	o.answer["job"] <- errOverloaded(time.Second)
	a := <-got
	var v *verdict.Error
	if !errors.As(a.err, &v) || v.Verdict != verdict.NotRun || v.RetryAfter != time.Second {
		t.Fatalf("got %v", a.err)
	}
}

// TestActiveOwnerIsNotPinged checks an owner's activity repeatedly: it counts only if the owner has sent
// something since the last check, and starts over with another owner.
func TestActiveOwnerIsNotPinged(t *testing.T) {
	o := newFakeOwner(t, "j")
	client := peer.NewClient(o.address, peer.DialTCP)
	defer client.Close()
	var w activity
	ping := func() {
		if err := client.Call(context.Background(), peer.MethodPing, peer.Empty{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	ping()
	if w.receivedSince(client) {
		t.Fatal("active before the first check")
	}
	if w.receivedSince(client) {
		t.Fatal("active although nothing was received")
	}
	ping()
	if !w.receivedSince(client) || w.receivedSince(client) {
		t.Fatal("one answer must count once")
	}
	other := peer.NewClient(o.address, peer.DialTCP)
	defer other.Close()
	if w.receivedSince(other) {
		t.Fatal("what the previous owner sent counts")
	}
}

// TestJobStaysAtABusyOwner has an owner not answer a ping in time while a job is in progress there: the job stays,
// over the same connection, and gets its answer.
func TestJobStaysAtABusyOwner(t *testing.T) {
	busy := newFakeOwner(t, "job")
	answering := make(chan struct{})
	peer.Handle(busy.server, peer.MethodPing, func(ctx context.Context, e *peer.Empty) (*peer.Empty, error) {
		<-answering
		return e, nil
	})
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "a", Peer: busy.address, Epoch: 1}, false)
	got := s.runAsync(context.Background(), "job")
	<-busy.arrived
	err := pingOnce(t.Context(), s.link.client)
	if !errors.Is(err, errPingTimeout) {
		t.Fatalf("%v", err)
	}
	s.link.recordPing(s.link.client, err)
	if s.Silent() == 0 {
		t.Fatal("the owner does not count as silent")
	}
	close(answering)
	busy.answer["job"] <- nil
	if a := <-got; a.err != nil {
		t.Fatal(a.err)
	}
	if len(busy.arrived) > 0 {
		t.Fatal("the job was resubmitted")
	}
}

// TestJobsAreWithdrawnFromAnUnreachableOwner has connections to the owner refused: its jobs do not wait.
func TestJobsAreWithdrawnFromAnUnreachableOwner(t *testing.T) {
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "a", Peer: "127.0.0.1:1", Epoch: 1}, false)
	lost := s.link.lost
	s.link.recordPing(s.link.client, pingOnce(t.Context(), s.link.client))
	select {
	case <-lost.fired:
	default:
		t.Fatal("the owner does not count as lost")
	}
}

// submitted returns the job as a fake owner received it.
func (o *fakeOwner) submitted(t *testing.T, id string) Job {
	t.Helper()
	j, found := o.jobs.Load(id)
	if !found {
		t.Fatalf("%s was not submitted", id)
	}
	return j.(Job)
}

// TestJobsThatNoOwnerTookAreNotResubmitted guards against jobs that are marked as resubmitted although no owner can have
// taken them: the next owner would admit them late. They count only if they were sent to an owner that may have run them.
func TestJobsThatNoOwnerTookAreNotResubmitted(t *testing.T) {
	for name, c := range map[string]struct {
		owner  bool  // there is an owner, which is lost
		sent   bool  // the job reaches it
		answer error // of the owner that the job reaches; nil: it is lost before it answers
		again  bool
	}{
		"no owner":              {},
		"a lost owner":          {owner: true},
		"not the owner":         {owner: true, sent: true, answer: errNotOwner()},
		"an owner that is lost": {owner: true, sent: true, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			first, next := newFakeOwner(t, "job"), newFakeOwner(t, "job")
			s := newClientService(t)
			if c.owner {
				s.link.setOwner(wire.StageOwner{ID: "first", Peer: first.address, Epoch: 1}, false)
			}
			if c.owner && !c.sent {
				s.link.lost.fire()
			}
			got := s.runAsync(context.Background(), "job")
			if c.sent {
				<-first.arrived
			}
			if c.answer != nil {
				first.answer["job"] <- c.answer
				<-first.arrived // again, after ownerRetryInterval: the first answer has arrived
				first.answer["job"] <- c.answer
			}
			s.link.setOwner(wire.StageOwner{ID: "next", Peer: next.address, Epoch: 2}, c.answer != nil)
			<-next.arrived
			if j := next.submitted(t, "job"); j.Resubmitted != c.again {
				t.Errorf("resubmitted: %v", j.Resubmitted)
			}
			next.answer["job"] <- nil
			if a := <-got; a.err != nil {
				t.Fatal(a.err)
			}
		})
	}
}

// TestJobThatCannotBeSentIsNotResubmitted has connections to the owner refused: it cannot have taken the job.
func TestJobThatCannotBeSentIsNotResubmitted(t *testing.T) {
	s := newClientService(t)
	client := peer.NewClient("127.0.0.1:1", peer.DialTCP)
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, moved, taken, err := s.runAt(ctx, client, make(chan struct{}), Job{ID: "job"}); err == nil || !moved || taken {
		t.Fatalf("moved %v, taken %v, %v", moved, taken, err)
	}
}

// TestRetryAfterWithoutAnOwnerIsSpread guards against callers that return all together after an outage: the time is
// spread evenly from half of noOwnerRetryAfter up to a third of the time left, or up to noOwnerRetryAfter.
func TestRetryAfterWithoutAnOwnerIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const calls, parts, shortest, longest = 4000, 8, noOwnerRetryAfter / 2, 3 * noOwnerRetryAfter / 2
	var count [parts]int
	for range calls {
		at := spreadRetryAfter(random.Float64())
		if at < shortest || at > longest {
			t.Fatalf("%s", at)
		}
		count[min(parts-1, int(parts*(at-shortest)/(longest-shortest)))]++
	}
	for i, n := range count {
		if n < calls/parts*8/10 || n > calls/parts*12/10 {
			t.Errorf("part %d of %d has %d of %d calls", i, parts, n, calls)
		}
	}
	if v := verdict.From(errNoOwner()); v.Verdict != verdict.NotRun || v.RetryAfter < shortest || v.RetryAfter > longest {
		t.Errorf("%+v", v)
	}
}
