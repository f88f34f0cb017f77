package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"caperdrum.org/api/verdict"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/upstream"
)

// relay is two owners in turn before the same upstreams, and the processes whose
// calls the jobs are.
type relay struct {
	t       *rapid.T
	now     time.Time
	owner   *scheduler
	running []*call
	holds   map[string]string // handle to what it holds, as long as it lies
	handles int
	made    map[string]int // how often each piece was made
	heard   *submissions
	answers map[string]Result
	errs    map[string]error
}

// chain is a job of two stages that follow each other.
func chain(id, handed string, before []StageMade) Job {
	return Job{ID: id, Handed: handed, Key: "k" + id, Caller: "process", Left: time.Minute, Goal: time.Minute, Made: before,
		Stages: []Stage{{Service: "a", Pieces: 2, Bytes: 500}, {Service: "b", After: []int{0}, Pieces: 3, Bytes: 100}}}
}

func newRelay(t *rapid.T) *relay {
	r := &relay{t: t, now: time.Unix(1000, 0), holds: map[string]string{}, made: map[string]int{}, heard: newSubmissions(), answers: map[string]Result{}, errs: map[string]error{}}
	r.owner = r.newOwner(false)
	return r
}

func (r *relay) newOwner(after bool) *scheduler {
	s := newScheduler()
	s.setServices(services, newWorld(r.t).members)
	s.setOwner(r.now, true, after)
	return s
}

func (r *relay) handIn(id, handed string, before []StageMade) {
	r.heard.begin(handed, before)
	r.free(r.owner.submit(r.now, chain(id, handed, before), func(res Result, err error) {
		r.answers[id], r.errs[id] = res, err
	}))
}

// work makes all pieces that wait, n calls at most.
func (r *relay) work(n int) {
	for ; n > 0; n-- {
		r.running = append(r.running, r.owner.startCalls(r.now)...)
		if len(r.running) == 0 {
			return
		}
		c := r.running[0]
		r.running = r.running[1:]
		r.now = r.now.Add(c.expected)
		o := outcome{results: make([]upstream.PieceResult, len(c.pieces))}
		for i, p := range c.request {
			for _, in := range p.Inputs {
				if want := fmt.Sprintf("%s/%d", p.ID, p.Stage-1); r.holds[in] != want {
					r.t.Fatalf("a piece of %s is given %q", p.ID, r.holds[in])
				}
			}
			r.handles++
			o.results[i].Handle = fmt.Sprint("h", r.handles)
			r.holds[o.results[i].Handle] = fmt.Sprintf("%s/%d", p.ID, p.Stage)
			r.made[fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Number)]++
		}
		r.free(r.owner.finishCall(r.now, c, o))
		for _, n := range r.owner.takeUpdates() {
			r.heard.apply(n.News)
			r.free(r.owner.updatesDelivered([]News{n.News}))
		}
	}
}

func (r *relay) free(list []storedResult) {
	for _, m := range list {
		if r.holds[m.handle] == "" {
			r.t.Fatalf("%s is freed twice", m.handle)
		}
		delete(r.holds, m.handle)
	}
	r.owner.recordFreed(list)
}

// TestNextOwnerGoesOn loses the owner at any moment, by its death or as it gives
// the queues up: stages that were whole are not made again, no job is given
// another's results, and all are answered.
func TestNextOwnerGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			r.handIn(id, id+"1", nil)
		}
		r.work(rapid.IntRange(0, 5).Draw(t, "calls before"))
		lost := r.owner
		if rapid.Bool().Draw(t, "gives up") {
			r.free(lost.setOwner(r.now, false, true))
			for _, c := range r.running { // its calls still end
				r.free(lost.finishCall(r.now, c, outcome{err: "cut"}))
			}
			for name, q := range lost.services {
				for id, w := range q.workers {
					if w.ownBytes != 0 && len(lost.jobs) == 0 {
						t.Fatalf("%s counts %d bytes at %s", name, w.ownBytes, id)
					}
				}
			}
		}
		r.running, r.owner = nil, r.newOwner(true)
		r.now = r.now.Add(fullBackoff)
		whole := map[string]bool{}
		for _, id := range ids {
			if r.errs[id] == nil && len(r.answers[id].Handles) > 0 {
				continue // answered by the first owner
			}
			before := r.heard.end(id + "1")
			for _, m := range before {
				whole[fmt.Sprint(id, m.Stage)] = true
			}
			r.handIn(id, id+"2", before)
		}
		r.work(100)
		for _, id := range ids {
			if r.errs[id] != nil || len(r.answers[id].Handles) != 3 {
				t.Fatalf("%s: %v, %v", id, r.answers[id], r.errs[id])
			}
			for _, h := range r.answers[id].Handles {
				if r.holds[h] != id+"/1" {
					t.Fatalf("%s is given %q", id, r.holds[h])
				}
			}
			for n := range 2 {
				if whole[id+"0"] && r.made[fmt.Sprintf("%s/0/%d", id, n)] != 1 {
					t.Fatalf("piece %d of %s was made %d times", n, id, r.made[fmt.Sprintf("%s/0/%d", id, n)])
				}
			}
		}
	})
}

// TestResultsOfAnUpstreamThatIsGoneAreMadeAgain hands a job in whose results lie at
// an upstream that left, and with claims that fit no stage of it.
func TestResultsOfAnUpstreamThatIsGoneAreMadeAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		claim := rapid.SampledFrom([]StageMade{
			{Stage: 0, Pieces: []PieceMade{{Upstream: "a0", Handle: "x"}, {Upstream: "gone", Handle: "y"}}},
			{Stage: 0, Pieces: []PieceMade{{Upstream: "a0", Handle: "x"}}},
			{Stage: 7, Pieces: []PieceMade{{Upstream: "a0", Handle: "x"}, {Upstream: "a0", Handle: "y"}}},
			{Stage: -1},
		}).Draw(t, "claim")
		r.handIn("a", "a1", []StageMade{claim})
		r.work(100)
		if r.errs["a"] != nil || r.made["a/0/0"] != 1 || r.made["a/0/1"] != 1 {
			t.Fatalf("%v, made %v", r.errs["a"], r.made)
		}
	})
}

// TestJobThatMovedKeepsItsResults gives a handing in up that goes on elsewhere: of
// its results those are freed of which its caller was not told.
func TestJobThatMovedKeepsItsResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		r.handIn("a", "a1", nil)
		calls := 0
		for ; len(r.heard.completed["a1"]) == 0; calls++ {
			r.work(1)
		}
		moved := rapid.Bool().Draw(t, "moved")
		r.free(r.owner.handleDone(r.now, Done{Handed: "a1", Moved: moved}))
		if kept := len(r.holds) > 0; kept != moved {
			t.Fatalf("moved %v, %d results lie", moved, len(r.holds))
		}
		if verdict.Of(r.errs["a"]) != verdict.NotRun {
			t.Fatalf("%v", r.errs["a"])
		}
	})
}

// TestNewsOfAJob takes in what is told of a job: a later handing in begins with what
// was known, a job that begins anew forgets it, and one that has ended hears nothing.
func TestNewsOfAJob(t *testing.T) {
	h := newSubmissions()
	stage := func(n int) *StageMade { return &StageMade{Stage: n, Pieces: []PieceMade{{Upstream: "u", Handle: "h"}}} }
	h.begin("x", []StageMade{*stage(0)})
	h.apply(News{"x", stage(1)})
	h.apply(News{"other", stage(1)})
	got := h.end("x")
	if len(got) != 2 || got[1].Stage != 1 {
		t.Fatalf("%+v", got)
	}
	h.apply(News{"x", stage(2)})
	if len(h.completed) != 0 {
		t.Fatalf("%v is kept", h.completed)
	}
	h.begin("y", got)
	h.apply(News{"y", nil})
	if got := h.end("y"); len(got) != 0 {
		t.Fatalf("%+v", got)
	}
}

// TestProcessIsToldOfItsJobs runs a job by an owner and a process of its own, over
// their link: the process hears of the first stage before the job is answered.
func TestProcessIsToldOfItsJobs(t *testing.T) {
	o := newOwner(t)
	s := newClientService(t)
	s.dial, s.callers, s.log = peer.DialTCP, map[string]*peer.Client{}, logr.Discard()
	s.sendUpdates([]addressedUpdate{{o.address, News{"x", &StageMade{Stage: 1, Pieces: []PieceMade{{Upstream: "u", Handle: "h"}}}}}})
	n := <-o.news
	if n.Handed != "x" || n.Made == nil || !slices.Equal(n.Made.Pieces, []PieceMade{{Upstream: "u", Handle: "h"}}) {
		t.Fatalf("%+v", n)
	}
	s.closeStaleCallers(nil)
	if len(s.callers) != 0 {
		t.Fatal("a connection to a process that is gone is kept")
	}
}

// TestInputsStayUntilTheirProcessKnows makes the stages of a job while its process cannot
// be told: what it was told of lies at the upstreams, so that another owner can go on,
// and the job ends here once the process counts as lost.
func TestInputsStayUntilTheirProcessKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		r.handIn("a", "a1", nil)
		for len(r.heard.completed["a1"]) == 0 {
			r.work(1)
		}
		known := r.heard.completed["a1"]
		for _, c := range r.owner.startCalls(r.now) {
			r.now = r.now.Add(c.expected)
			r.free(r.owner.finishCall(r.now, c, outcome{results: make([]upstream.PieceResult, len(c.pieces))}))
		}
		r.free(r.owner.dropCaller("process"))
		if verdict.Of(r.errs["a"]) != verdict.NotRun || len(r.owner.jobs) > 0 {
			t.Fatalf("%v, %d jobs", r.errs["a"], len(r.owner.jobs))
		}
		for _, p := range known[0].Pieces {
			if r.holds[p.Handle] == "" {
				t.Fatalf("%s is freed", p.Handle)
			}
		}
	})
}

// TestJobsOfALostOwnerAreNotSentAway hands a job in at the next owner during an overload:
// it is taken in though it will be late, unlike one that comes for the first time, unless
// its deadline cannot be kept either.
func TestJobsOfALostOwnerAreNotSentAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOverloaded(t)
		for _, c := range []struct {
			id    string
			again bool
			left  time.Duration
			taken bool
		}{{"first try", false, 9 * time.Second, false}, {"handed in again", true, 9 * time.Second, true}, {"without hope", true, 300 * time.Millisecond, false}} {
			o.s.submit(o.now, Job{ID: c.id, Handed: c.id, Key: c.id, Again: c.again, Left: c.left, Goal: time.Second, Stages: []Stage{{Service: "a", Pieces: 4, Bytes: 10}}},
				func(_ Result, err error) { o.ended[c.id] = err })
			if j := o.s.jobs[c.id]; (j != nil) != c.taken || j != nil && !j.late {
				t.Fatalf("%s: %+v", c.id, j)
			}
		}
	})
}

// TestOwnerThatHandsOverEndsItsCalls hands the queues over while calls are under way:
// jobs without one go at once, the others with what their calls make, and neither is made
// again by the next owner.
func TestOwnerThatHandsOverEndsItsCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		r.handIn("under way", "u1", nil)
		r.running = append(r.running, r.owner.startCalls(r.now)...)
		r.handIn("waiting", "w1", nil)
		first := r.owner
		r.free(first.setOwner(r.now, false, true))
		if _, answered := r.answers["under way"]; answered || !r.answers["waiting"].Moved {
			t.Fatalf("answered: %+v", r.answers)
		}
		r.work(10)
		res := r.answers["under way"]
		if !res.Moved || len(res.Made) != 1 {
			t.Fatalf("moved with %+v", res)
		}
		if len(r.holds) != 2 || len(first.jobs) != 0 {
			t.Fatalf("%d results lie, %d jobs are kept", len(r.holds), len(first.jobs))
		}
		r.owner = r.newOwner(true)
		r.handIn("under way", "u2", res.Made)
		r.handIn("waiting", "w2", r.answers["waiting"].Made)
		r.now = r.now.Add(fullBackoff)
		r.work(10)
		for id, err := range r.errs {
			if err != nil || len(r.answers[id].Handles) != 3 {
				t.Fatalf("%s: %+v, %v", id, r.answers[id], err)
			}
		}
		for piece, times := range r.made {
			if times != 1 {
				t.Fatalf("%s was made %d times", piece, times)
			}
		}
	})
}

// TestMovedJobKeepsStagesThatAreFreed hands a job over whose first stage was freed, since the
// second is whole: the next owner makes neither again.
func TestMovedJobKeepsStagesThatAreFreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRelay(t)
		job := chain("j", "j1", nil)
		job.Stages = append(job.Stages, Stage{Service: "b", After: []int{1}, Pieces: 1, Bytes: 10})
		handIn := func(handed string, before []StageMade) {
			job.Handed, job.Made = handed, before
			r.heard.begin(handed, before)
			r.free(r.owner.submit(r.now, job, func(res Result, err error) { r.answers["j"], r.errs["j"] = res, err }))
		}
		handIn("j1", nil)
		r.work(2)
		r.free(r.owner.setOwner(r.now, false, true))
		res := r.answers["j"]
		if !res.Moved {
			r.work(1) // a call of the last stage was under way
			t.Skip("all stages were made")
		}
		r.owner = r.newOwner(true)
		handIn("j2", mergeStages(r.heard.end("j1"), res.Made))
		r.now = r.now.Add(fullBackoff)
		r.work(5)
		if r.errs["j"] != nil || len(r.answers["j"].Handles) != 1 {
			t.Fatalf("%+v, %v", r.answers["j"], r.errs["j"])
		}
		for piece, times := range r.made {
			if times != 1 {
				t.Fatalf("%s was made %d times", piece, times)
			}
		}
	})
}
