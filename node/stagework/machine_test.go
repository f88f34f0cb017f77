package stagework

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/upstream"
)

// schedulerSimulation drives a scheduler with jobs, calls with every outcome, changing members and changes of ownership.
// It checks invariants on everything that the scheduler returns.
type schedulerSimulation struct {
	t        *rapid.T
	s        *scheduler
	now      time.Time
	running  []*call
	jobs     map[string]*tracked
	serial   int
	contents map[string]string // what each handle holds, as "job/stage/piece"
	stored   map[string]bool   // handles that were not freed
	members  map[string][]wire.Member
	hedges   int // calls that repeat pieces
}

type tracked struct {
	job      Job
	answered int
	result   Result
	err      error
}

var services = map[string]*optext.Service{
	"a": {Name: "a", Direct: optext.Direct{Batch: 4, Calls: 1, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultRoom: 4000, ResultTTL: 4 * time.Second}},
	"b": {Name: "b", Direct: optext.Direct{Batch: 6, Calls: 1, CallTime: 200 * time.Millisecond, PieceTime: 5 * time.Millisecond, ResultRoom: 100_000_000, ResultTTL: 4 * time.Second}},
}

func newSchedulerSimulation(t *rapid.T) *schedulerSimulation {
	w := &schedulerSimulation{t: t, s: newScheduler(), now: time.Unix(1000, 0), jobs: map[string]*tracked{}, contents: map[string]string{}, stored: map[string]bool{}, members: map[string][]wire.Member{}}
	for _, service := range []string{"a", "b"} {
		for i := range 3 {
			w.members[service] = append(w.members[service], wire.Member{ID: wire.MemberID(fmt.Sprint(service, i)), Service: service, Direct: fmt.Sprint(service, i), DataCenter: fmt.Sprint("dc", i%2)})
		}
	}
	w.s.setServices(services, w.members)
	w.s.setOwner(w.now, true, false)
	return w
}

func (w *schedulerSimulation) addJob() {
	w.serial++
	j := Job{ID: fmt.Sprint("job", w.serial), SubmissionID: fmt.Sprint("job", w.serial), Key: fmt.Sprint("k", rapid.IntRange(0, 9).Draw(w.t, "key")), DataCenter: "dc0", TimeLeft: time.Duration(rapid.IntRange(200, 4000).Draw(w.t, "left")) * time.Millisecond}
	j.Goal = j.TimeLeft / 2
	if w.s.hedging.enabled {
		j.Goal = j.TimeLeft // pieces of overdue calls can still be in time
	}
	j.Stages = []Stage{
		{Service: "a", Pieces: rapid.IntRange(0, 3).Draw(w.t, "p0"), ResultBytes: 500},
		{Service: "a", Pieces: rapid.IntRange(0, 6).Draw(w.t, "p1"), ResultBytes: 100},
		{Service: "b", DependsOn: []int{1}, Pieces: rapid.IntRange(0, 8).Draw(w.t, "p2"), ResultBytes: 60_000},
		{Service: "b", DependsOn: []int{0, 2}, Pieces: rapid.IntRange(0, 3).Draw(w.t, "p3"), ResultBytes: 10},
	}
	tr := &tracked{job: j}
	w.jobs[j.ID] = tr
	w.s.submit(w.now, j, func(r Result, err error) {
		tr.answered++
		tr.result, tr.err = r, err
	})
}

// start takes the calls to start and checks them.
func (w *schedulerSimulation) start() {
	for _, c := range w.s.startCalls(w.now) {
		spec := services[c.service]
		if len(c.pieces) > spec.Batch || len(c.pieces) == 0 {
			w.t.Fatalf("a call of %d pieces", len(c.pieces))
		}
		if c.worker.runningCalls > spec.Calls {
			w.t.Fatalf("%d calls at %s", c.worker.runningCalls, c.worker.member.ID)
		}
		if c.worker.ownBytes > spec.ResultRoom {
			w.t.Fatalf("%s holds %d of %d bytes", c.worker.member.ID, c.worker.ownBytes, spec.ResultRoom)
		}
		if c.hedgeOf != nil {
			w.hedges++
			w.checkHedge(c)
		}
		if !w.s.owner {
			w.t.Fatal("a call by a process that does not own the queues")
		}
		for i, p := range c.pieces {
			w.checkRequest(p, c.request[i])
		}
		w.running = append(w.running, c)
	}
}

// checkRequest checks that a piece gets all results of the stages that it depends on, each once, and
// from its own job.
func (w *schedulerSimulation) checkRequest(p *piece, r upstream.Piece) {
	j := w.jobs[r.ID].job
	var want []string
	for _, k := range j.Stages[r.Stage].DependsOn {
		for n := range j.Stages[k].Pieces {
			want = append(want, fmt.Sprintf("%s/%d/%d", r.ID, k, n))
		}
	}
	var got []string
	for _, h := range r.Inputs {
		got = append(got, w.contents[h])
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		w.t.Fatalf("piece %d of stage %d of %s gets %v, want %v", r.Number, r.Stage, r.ID, got, want)
	}
	if first := len(j.Stages[r.Stage].DependsOn) == 0; first != (r.Key != "") {
		w.t.Fatalf("key %q at stage %d", r.Key, r.Stage)
	}
}

// finish ends one running call.
func (w *schedulerSimulation) finish() {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(w.t, "call")
	c := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	o := outcome{}
	switch rapid.SampledFrom([]string{"made", "made", "made", "made", "some", "full", "moved", "lost"}).Draw(w.t, "end") {
	case "made":
		o.results = w.results(c, false)
	case "some":
		o.results = w.results(c, true)
	case "full":
		o.full = true
	case "moved":
		o.misdirected = true
	}
	w.free(w.s.finishCall(w.now, c, o))
}

func (w *schedulerSimulation) results(c *call, failing bool) []upstream.PieceResult {
	out := make([]upstream.PieceResult, len(c.pieces))
	for i, r := range c.request {
		if failing && rapid.Bool().Draw(w.t, "fails") {
			out[i].Failure = rapid.SampledFrom([]upstream.Failure{upstream.Late, upstream.InputGone, upstream.NoRoom, upstream.Failed}).Draw(w.t, "why")
			continue
		}
		h := fmt.Sprintf("%s/%d", c.worker.member.Direct, len(w.contents))
		w.contents[h] = fmt.Sprintf("%s/%d/%d", r.ID, r.Stage, r.Number)
		w.stored[h] = true
		out[i].Handle = h
	}
	return out
}

func (w *schedulerSimulation) free(results []storedResult) {
	for _, m := range results {
		if !w.stored[m.handle] {
			w.t.Fatalf("%s was freed twice, or never stored", m.handle)
		}
		delete(w.stored, m.handle)
	}
	w.s.recordFreed(results)
}

// report answers the requested room reports: with room that a previous owner's results occupy, or not
// at all.
func (w *schedulerSimulation) report() {
	for _, asked := range w.s.dueReports(w.now) {
		free := int64(rapid.IntRange(-1, 4000).Draw(w.t, "free"))
		if free < 0 {
			w.s.applyReport(w.now, asked, nil)
		} else {
			w.s.applyReport(w.now, asked, &upstream.Room{Free: free, FreeMax: free + int64(rapid.IntRange(0, 500).Draw(w.t, "more"))})
		}
		if asked.foreignBytes < 0 || free >= 0 && asked.foreignBytes > services[asked.member.Service].ResultRoom {
			w.t.Fatalf("%s: %d foreign bytes", asked.member.ID, asked.foreignBytes)
		}
	}
}

func (w *schedulerSimulation) release() {
	for _, tr := range w.jobs {
		if tr.answered > 0 {
			w.free(w.s.handleDone(w.now, Done{SubmissionID: tr.job.ID}))
			return
		}
	}
}

func (w *schedulerSimulation) changeMembers() {
	service := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "service")
	if list := w.members[service]; len(list) > 1 && rapid.Bool().Draw(w.t, "leaves") {
		w.members[service] = slices.Clone(list[1:])
	} else {
		w.serial++
		id := fmt.Sprint(service, "new", w.serial)
		w.members[service] = append(slices.Clone(list), wire.Member{ID: wire.MemberID(id), Service: service, Direct: id, DataCenter: "dc1"})
	}
	w.s.setServices(services, w.members)
}

// check runs after every step.
func (w *schedulerSimulation) check() {
	for _, j := range w.s.jobs {
		w.checkCalls(j)
	}
	for id, tr := range w.jobs {
		if tr.answered > 1 {
			w.t.Fatalf("%s is answered %d times", id, tr.answered)
		}
		if tr.answered == 1 && tr.err == nil {
			w.checkResult(tr)
		}
		late := w.now.Sub(time.Unix(1000, 0)) > time.Hour
		if tr.answered == 0 && w.s.jobs[id] == nil && !late {
			w.t.Fatalf("%s was dropped without an answer", id)
		}
	}
}

// checkResult checks that the answer holds each result of the job's final stages once.
func (w *schedulerSimulation) checkResult(tr *tracked) {
	var want, got []string
	for i, final := range tr.job.finalStages() {
		for n := range tr.job.Stages[i].Pieces {
			if final {
				want = append(want, fmt.Sprintf("%s/%d/%d", tr.job.ID, i, n))
			}
		}
	}
	for _, h := range tr.result.Handles {
		got = append(got, w.contents[h])
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		w.t.Fatalf("%s gets %v, want %v", tr.job.ID, got, want)
	}
}

// TestSchedulerNeverMixesUpResults plays random events of links and upstreams, and then lets all jobs end.
func TestSchedulerNeverMixesUpResults(t *testing.T) { playRandomEvents(t, false) }

// playRandomEvents checks the scheduler's invariants, and returns the number of hedges.
func playRandomEvents(t *testing.T, hedging bool) (hedges int) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		if hedging {
			w.hedge()
		}
		actions := map[string]func(*rapid.T){
			"job":     func(*rapid.T) { w.addJob() },
			"finish":  func(*rapid.T) { w.finish() },
			"release": func(*rapid.T) { w.release() },
			"members": func(*rapid.T) { w.changeMembers() },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				w.free(w.s.expireJobs(w.now))
			},
			"owner":  func(t *rapid.T) { w.free(w.s.setOwner(w.now, rapid.IntRange(0, 3).Draw(t, "owner") > 0, true)) },
			"report": func(t *rapid.T) { w.report() },
			"": func(*rapid.T) {
				w.start()
				w.check()
			},
		}
		if hedging {
			actions["overdue"] = func(*rapid.T) { // in one step, as few jobs stay in time for longer
				w.now = w.now.Add(350 * time.Millisecond)
				w.free(w.s.expireJobs(w.now))
			}
		}
		t.Repeat(actions)
		w.now = w.now.Add(10 * time.Second)
		w.free(w.s.expireJobs(w.now))
		for len(w.running) > 0 {
			w.finish()
		}
		hedges += w.hedges
		for id, tr := range w.jobs {
			if tr.answered != 1 {
				t.Fatalf("%s is answered %d times", id, tr.answered)
			}
			w.free(w.s.handleDone(w.now, Done{SubmissionID: id}))
		}
		if len(w.s.jobs) > 0 {
			t.Fatalf("%d jobs are left", len(w.s.jobs))
		}
		for name, q := range w.s.services {
			if len(q.waiting) > 0 {
				t.Fatalf("%d pieces of ended jobs wait at %s", len(q.waiting), name)
			}
			for id, worker := range q.workers {
				if worker.ownBytes < 0 || worker.runningCalls != 0 || worker.overdueCalls != 0 {
					t.Fatalf("%s: %d own bytes, %d calls, %d overdue", id, worker.ownBytes, worker.runningCalls, worker.overdueCalls)
				}
			}
		}
	})
	return hedges
}

// TestGroupsStayTogether gives two upstreams five groups of two pieces: no group is split over two calls.
func TestGroupsStayTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		for range 5 {
			w.serial++
			w.s.submit(w.now, Job{ID: fmt.Sprint(w.serial), SubmissionID: fmt.Sprint(w.serial), Key: "k", TimeLeft: 10 * time.Second, Goal: 5 * time.Second, Stages: []Stage{{Service: "a", Pieces: 2, ResultBytes: 10}}}, func(Result, error) {})
		}
		for _, c := range w.s.startCalls(w.now) {
			var ids []string
			for _, p := range c.pieces {
				ids = append(ids, p.job.ID)
			}
			for i := 0; i < len(ids); i += 2 {
				if i+1 == len(ids) || ids[i] != ids[i+1] {
					t.Fatalf("a call holds %s", strings.Join(ids, " "))
				}
			}
		}
	})
}

// TestResubmittedCallContinues submits a call twice, and ends the first submission only after that, as
// messages may be reordered: the second submission continues.
func TestResubmittedCallContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		answered := map[string]error{}
		for _, handed := range []string{"first", "second"} {
			w.s.submit(w.now, Job{ID: "call", SubmissionID: handed, Key: "k", TimeLeft: time.Minute, Goal: time.Minute, Stages: []Stage{{Service: "a", Pieces: 1, ResultBytes: 10}}},
				func(_ Result, err error) { answered[handed] = err })
		}
		w.free(w.s.handleDone(w.now, Done{SubmissionID: "first"}))
		if err, ended := answered["first"]; !ended || err == nil {
			t.Fatal("the ended submission continues")
		}
		if _, ended := answered["second"]; ended || w.s.jobs["second"] == nil {
			t.Fatal("the second submission was ended too")
		}
	})
}

// TestWaitingJobWithoutTimeIsRefused submits a job to a service whose upstreams are all busy: it is refused as not run
// once a call takes longer than it has left, before its deadline, and jobs with a call in progress are not.
func TestWaitingJobWithoutTimeIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerSimulation(t)
		ended := map[string]error{}
		add := func(id string) {
			w.s.submit(w.now, Job{ID: id, SubmissionID: id, Key: "k", TimeLeft: 20 * time.Second, Goal: -time.Second, Stages: []Stage{{Service: "a", Pieces: 4, ResultBytes: 10}}},
				func(_ Result, err error) { ended[id] = err })
		}
		for i := range 3 {
			add(fmt.Sprint("running", i))
		}
		w.s.startCalls(w.now)
		w.now = w.now.Add(ownerTick) // late jobs start at a tick
		w.free(w.s.expireJobs(w.now))
		w.s.startCalls(w.now)
		add("waits")
		w.s.startCalls(w.now)
		w.now = w.now.Add(20*time.Second - shortestCall(services["a"]))
		w.free(w.s.expireJobs(w.now))
		if len(ended) != 0 {
			t.Fatalf("ended too early: %v", ended)
		}
		w.now = w.now.Add(time.Millisecond)
		w.free(w.s.expireJobs(w.now))
		if len(ended) != 1 || verdict.Of(ended["waits"]) != verdict.NotRun {
			t.Fatalf("ended: %v", ended)
		}
	})
}
