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

// handoverSimulation is two owners in turn, their upstreams, and the submitting processes.
type handoverSimulation struct {
	t           *rapid.T
	now         time.Time
	owner       *scheduler
	running     []*call
	stored      map[string]string // what each handle holds, until it is freed
	handles     int
	runs        map[string]int // how often each piece was run
	submissions *submissions
	answers     map[string]Result
	errs        map[string]error
}

// chainJob returns a job of two stages, the second of which depends on the first.
func chainJob(id, handed string, before []CompletedStage) Job {
	return Job{ID: id, SubmissionID: handed, Key: "k" + id, Caller: "process", TimeLeft: time.Minute, Goal: time.Minute, CompletedStages: before,
		Stages: []Stage{{Service: "a", Pieces: 2, ResultBytes: 500}, {Service: "b", DependsOn: []int{0}, Pieces: 3, ResultBytes: 100}}}
}

func newHandoverSimulation(t *rapid.T) *handoverSimulation {
	r := &handoverSimulation{t: t, now: time.Unix(1000, 0), stored: map[string]string{}, runs: map[string]int{}, submissions: newSubmissions(), answers: map[string]Result{}, errs: map[string]error{}}
	r.owner = r.newOwner(false)
	return r
}

func (r *handoverSimulation) newOwner(after bool) *scheduler {
	s := newScheduler()
	s.setServices(services, newSchedulerSimulation(r.t).members)
	s.setOwner(r.now, true, after)
	return s
}

func (r *handoverSimulation) submit(id, handed string, before []CompletedStage) {
	r.submissions.begin(handed, before)
	r.free(r.owner.submit(r.now, chainJob(id, handed, before), func(res Result, err error) {
		r.answers[id], r.errs[id] = res, err
	}))
}

// runCalls runs the waiting pieces, in n calls at most.
func (r *handoverSimulation) runCalls(n int) {
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
				if want := fmt.Sprintf("%s/%d", p.ID, p.Stage-1); r.stored[in] != want {
					r.t.Fatalf("a piece of %s is given %q", p.ID, r.stored[in])
				}
			}
			r.handles++
			o.results[i].Handle = fmt.Sprint("h", r.handles)
			r.stored[o.results[i].Handle] = fmt.Sprintf("%s/%d", p.ID, p.Stage)
			r.runs[fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Number)]++
		}
		r.free(r.owner.finishCall(r.now, c, o))
		for _, n := range r.owner.takeUpdates() {
			r.submissions.apply(n.ProgressUpdate)
			r.free(r.owner.updatesDelivered([]ProgressUpdate{n.ProgressUpdate}))
		}
	}
}

func (r *handoverSimulation) free(list []storedResult) {
	for _, m := range list {
		if r.stored[m.handle] == "" {
			r.t.Fatalf("%s is freed twice", m.handle)
		}
		delete(r.stored, m.handle)
	}
	r.owner.recordFreed(list)
}

// TestNextOwnerContinuesJobs loses the owner at any moment, by a crash or a handover: completed stages are not run
// again, no job gets another's results, and all are answered.
func TestNextOwnerContinuesJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			r.submit(id, id+"1", nil)
		}
		r.runCalls(rapid.IntRange(0, 5).Draw(t, "calls before"))
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
			before := r.submissions.end(id + "1")
			for _, m := range before {
				whole[fmt.Sprint(id, m.Stage)] = true
			}
			r.submit(id, id+"2", before)
		}
		r.runCalls(100)
		for _, id := range ids {
			if r.errs[id] != nil || len(r.answers[id].Handles) != 3 {
				t.Fatalf("%s: %v, %v", id, r.answers[id], r.errs[id])
			}
			for _, h := range r.answers[id].Handles {
				if r.stored[h] != id+"/1" {
					t.Fatalf("%s is given %q", id, r.stored[h])
				}
			}
			for n := range 2 {
				if whole[id+"0"] && r.runs[fmt.Sprintf("%s/0/%d", id, n)] != 1 {
					t.Fatalf("piece %d of %s was run %d times", n, id, r.runs[fmt.Sprintf("%s/0/%d", id, n)])
				}
			}
		}
	})
}

// TestResultsOfARemovedUpstreamAreRecomputed submits a job with results at an upstream that left, and with
// stages that do not match its own.
func TestResultsOfARemovedUpstreamAreRecomputed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		claim := rapid.SampledFrom([]CompletedStage{
			{Stage: 0, Pieces: []ResultLocation{{Upstream: "a0", Handle: "x"}, {Upstream: "gone", Handle: "y"}}},
			{Stage: 0, Pieces: []ResultLocation{{Upstream: "a0", Handle: "x"}}},
			{Stage: 7, Pieces: []ResultLocation{{Upstream: "a0", Handle: "x"}, {Upstream: "a0", Handle: "y"}}},
			{Stage: -1},
		}).Draw(t, "claim")
		r.submit("a", "a1", []CompletedStage{claim})
		r.runCalls(100)
		if r.errs["a"] != nil || r.runs["a/0/0"] != 1 || r.runs["a/0/1"] != 1 {
			t.Fatalf("%v, runs %v", r.errs["a"], r.runs)
		}
	})
}

// TestMovedJobKeepsItsResults ends a submission that continues elsewhere: only the results that its caller
// was not told of are freed.
func TestMovedJobKeepsItsResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		r.submit("a", "a1", nil)
		calls := 0
		for ; len(r.submissions.completed["a1"]) == 0; calls++ {
			r.runCalls(1)
		}
		moved := rapid.Bool().Draw(t, "moved")
		r.free(r.owner.handleDone(r.now, Done{SubmissionID: "a1", Moved: moved}))
		if kept := len(r.stored) > 0; kept != moved {
			t.Fatalf("moved %v, %d results left", moved, len(r.stored))
		}
		if verdict.Of(r.errs["a"]) != verdict.NotRun {
			t.Fatalf("%v", r.errs["a"])
		}
	})
}

// TestJobUpdates applies updates of a job: a later submission starts with what was known, a restart of the job
// clears it, and updates after the end are ignored.
func TestJobUpdates(t *testing.T) {
	h := newSubmissions()
	stage := func(n int) *CompletedStage {
		return &CompletedStage{Stage: n, Pieces: []ResultLocation{{Upstream: "u", Handle: "h"}}}
	}
	h.begin("x", []CompletedStage{*stage(0)})
	h.apply(ProgressUpdate{"x", stage(1)})
	h.apply(ProgressUpdate{"other", stage(1)})
	got := h.end("x")
	if len(got) != 2 || got[1].Stage != 1 {
		t.Fatalf("%+v", got)
	}
	h.apply(ProgressUpdate{"x", stage(2)})
	if len(h.completed) != 0 {
		t.Fatalf("%v left", h.completed)
	}
	h.begin("y", got)
	h.apply(ProgressUpdate{"y", nil})
	if got := h.end("y"); len(got) != 0 {
		t.Fatalf("%+v", got)
	}
}

// TestJobUpdateReachesTheSubmitter sends an update to a submitting process over a connection.
func TestJobUpdateReachesTheSubmitter(t *testing.T) {
	o := newFakeOwner(t)
	s := newClientService(t)
	s.dial, s.callers, s.log = peer.DialTCP, map[string]*peer.Client{}, logr.Discard()
	s.sendUpdates([]addressedUpdate{{o.address, ProgressUpdate{"x", &CompletedStage{Stage: 1, Pieces: []ResultLocation{{Upstream: "u", Handle: "h"}}}}}})
	n := <-o.updates
	if n.SubmissionID != "x" || n.Completed == nil || !slices.Equal(n.Completed.Pieces, []ResultLocation{{Upstream: "u", Handle: "h"}}) {
		t.Fatalf("%+v", n)
	}
	s.closeStaleCallers(nil)
	if len(s.callers) != 0 {
		t.Fatal("the connection to a process that is gone was not closed")
	}
}

// TestInputsAreKeptUntilTheUpdateIsDelivered runs the stages of a job while its submitting process cannot be reached:
// the results that it was told of are kept, so that another owner can continue, and the job ends once the
// process counts as lost.
func TestInputsAreKeptUntilTheUpdateIsDelivered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		r.submit("a", "a1", nil)
		for len(r.submissions.completed["a1"]) == 0 {
			r.runCalls(1)
		}
		known := r.submissions.completed["a1"]
		for _, c := range r.owner.startCalls(r.now) {
			r.now = r.now.Add(c.expected)
			r.free(r.owner.finishCall(r.now, c, outcome{results: make([]upstream.PieceResult, len(c.pieces))}))
		}
		r.free(r.owner.dropCaller("process"))
		if verdict.Of(r.errs["a"]) != verdict.NotRun || len(r.owner.jobs) > 0 {
			t.Fatalf("%v, %d jobs", r.errs["a"], len(r.owner.jobs))
		}
		for _, p := range known[0].Pieces {
			if r.stored[p.Handle] == "" {
				t.Fatalf("%s was freed", p.Handle)
			}
		}
	})
}

// TestResubmittedJobsAreJudgedLikeOthers guards against a next owner that judges jobs by whether its predecessor had
// them: during an overload, one that will be late is admitted late, one that cannot meet its deadline is refused, and
// so are first submissions. One with a completed stage continues.
func TestResubmittedJobsAreJudgedLikeOthers(t *testing.T) {
	for _, measured := range []bool{true, false} {
		rapid.Check(t, func(t *rapid.T) {
			o := newOverloadFixture(t)
			o.s.measured = measured
			submit := func(id string, left time.Duration, again bool, before []CompletedStage) *job {
				o.s.submit(o.now, Job{ID: id, SubmissionID: id, Key: id, Resubmitted: again, TimeLeft: left, Goal: time.Second, CompletedStages: before,
					Stages: []Stage{{Service: "a", Pieces: 4, ResultBytes: 10}, {Service: "b", DependsOn: []int{0}, Pieces: 1, ResultBytes: 10}}},
					func(_ Result, err error) { o.ended[id] = err })
				j := o.s.jobs[id]
				if err := o.ended[id]; (j == nil) != (err != nil) || err != nil && (verdict.Of(err) != verdict.NotRun || verdict.From(err).RetryAfter <= 0) {
					t.Fatalf("%s: %+v, %v", id, j, err)
				}
				return j
			}
			for _, again := range []bool{false, true} {
				if submit(fmt.Sprint("without hope", again), 300*time.Millisecond, again, nil) != nil {
					t.Fatalf("a job that misses its deadline was admitted, resubmitted %v", again)
				}
				if j := submit(fmt.Sprint("late", again), 9*time.Second, again, nil); j == nil || !j.late || !j.postponed {
					t.Fatalf("a job that has time: %+v, resubmitted %v", j, again)
				}
			}
			done := []CompletedStage{{Stage: 0, Pieces: []ResultLocation{{Upstream: "a0", Handle: "w"}, {Upstream: "a0", Handle: "x"}, {Upstream: "a1", Handle: "y"}, {Upstream: "a1", Handle: "z"}}}}
			if j := submit("continues", 9*time.Second, true, done); j == nil || j.postponed {
				t.Fatal("a job with a completed stage was refused or has to wait")
			}
		})
	}
}

// TestResubmittedJobInTimeIsNotLate resubmits a job that reaches its goal: it is served like a first attempt.
func TestResubmittedJobInTimeIsNotLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		for i := range 9 {
			id := fmt.Sprint("j", i)
			w.s.submit(w.now, Job{ID: id, SubmissionID: id, Key: id, Resubmitted: true, TimeLeft: time.Minute, Goal: time.Minute / 2, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}}, func(Result, error) {})
			if j := w.s.jobs[id]; j == nil || j.late || len(w.s.postponed.jobs) > 0 {
				t.Fatalf("%+v, %d postponed", j, len(w.s.postponed.jobs))
			}
		}
	})
}

// TestHandoverKeepsResultsOfCallsInProgress hands the queues over while calls are in progress: jobs without one
// move at once, the others with the results of their calls, and the next owner repeats neither.
func TestHandoverKeepsResultsOfCallsInProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		r.submit("under way", "u1", nil)
		r.running = append(r.running, r.owner.startCalls(r.now)...)
		r.submit("waiting", "w1", nil)
		first := r.owner
		r.free(first.setOwner(r.now, false, true))
		if _, answered := r.answers["under way"]; answered || !r.answers["waiting"].Moved {
			t.Fatalf("answered: %+v", r.answers)
		}
		r.runCalls(10)
		res := r.answers["under way"]
		if !res.Moved || len(res.CompletedStages) != 1 {
			t.Fatalf("moved with %+v", res)
		}
		if len(r.stored) != 2 || len(first.jobs) != 0 {
			t.Fatalf("%d results and %d jobs left", len(r.stored), len(first.jobs))
		}
		r.owner = r.newOwner(true)
		r.submit("under way", "u2", res.CompletedStages)
		r.submit("waiting", "w2", r.answers["waiting"].CompletedStages)
		r.now = r.now.Add(fullBackoff)
		r.runCalls(10)
		for id, err := range r.errs {
			if err != nil || len(r.answers[id].Handles) != 3 {
				t.Fatalf("%s: %+v, %v", id, r.answers[id], err)
			}
		}
		for piece, times := range r.runs {
			if times != 1 {
				t.Fatalf("%s was run %d times", piece, times)
			}
		}
	})
}

// TestMovedJobKeepsFreedStages hands over a job whose first stage was freed because the second is complete: the
// next owner runs neither again.
func TestMovedJobKeepsFreedStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHandoverSimulation(t)
		job := chainJob("j", "j1", nil)
		job.Stages = append(job.Stages, Stage{Service: "b", DependsOn: []int{1}, Pieces: 1, ResultBytes: 10})
		handIn := func(handed string, before []CompletedStage) {
			job.SubmissionID, job.CompletedStages = handed, before
			r.submissions.begin(handed, before)
			r.free(r.owner.submit(r.now, job, func(res Result, err error) { r.answers["j"], r.errs["j"] = res, err }))
		}
		handIn("j1", nil)
		r.runCalls(2)
		r.free(r.owner.setOwner(r.now, false, true))
		res := r.answers["j"]
		if !res.Moved {
			r.runCalls(1) // a call of the last stage was in progress
			t.Skip("all stages were completed")
		}
		r.owner = r.newOwner(true)
		handIn("j2", mergeStages(r.submissions.end("j1"), res.CompletedStages))
		r.now = r.now.Add(fullBackoff)
		r.runCalls(5)
		if r.errs["j"] != nil || len(r.answers["j"].Handles) != 1 {
			t.Fatalf("%+v, %v", r.answers["j"], r.errs["j"])
		}
		for piece, times := range r.runs {
			if times != 1 {
				t.Fatalf("%s was run %d times", piece, times)
			}
		}
	})
}
