package stagework

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

// When the owner of the queues is lost, the processes whose calls the jobs belong
// to hand them in at the next owner. Each is told of its jobs' results as stages
// are made, so that the next owner goes on where the last one was: what a job has
// waited for is not made twice, and its results do not lie at the upstreams for
// nobody until they are gone by themselves. What is lost with an owner are results
// of stages that were not whole.

// StageMade says where the results of a whole stage lie.
type StageMade struct {
	Stage  int         `json:"stage"`
	Pieces []PieceMade `json:"pieces"` // in the order of their numbers
}

// PieceMade is one result.
type PieceMade struct {
	Upstream    wire.MemberID `json:"upstream"`
	Incarnation uint64        `json:"incarnation,omitempty"` // the start of it that holds the result
	Handle      string        `json:"handle"`
}

// News tells the process of a job's call what the owner has made of the job.
type News struct {
	Handed string     `json:"handed"`
	Made   *StageMade `json:"made,omitempty"` // nil: what was told before is gone, since the job begins anew
}

// news is News for a process.
type news struct {
	to string // its peer address
	News
}

// tell queues news for the process of the job's call, and reports whether there is one.
func (s *scheduler) tell(j *job, m *StageMade) bool {
	if j.Caller == "" {
		return false
	}
	s.news = append(s.news, news{j.Caller, News{j.Handed, m}})
	return true
}

// acked returns the inputs that are to be freed now that the processes know of what was
// made of them. Before that the next owner would need them: an owner that is cut off from
// all others goes on for a while.
func (s *scheduler) acked(list []News) []made {
	var out []made
	for _, n := range list {
		if j := s.jobs[n.Handed]; j != nil {
			out = append(out, s.freeInputs(j)...)
		}
	}
	return out
}

// loseCaller ends the jobs of a process that cannot be reached, which hands them in
// elsewhere if it lives. It returns the results that nobody knows of.
func (s *scheduler) loseCaller(address string) []made {
	var out []made
	for _, j := range s.jobs {
		if j.answer != nil && j.Caller == address {
			s.end(j, Result{}, errMoved())
			out = append(out, s.leave(j)...)
		}
	}
	return out
}

// takeNews returns what processes are to be told.
func (s *scheduler) takeNews() []news {
	out := s.news
	s.news = nil
	return out
}

// move hands a job on to the next owner, once the calls that make pieces of it have ended:
// what they make is nobody's otherwise, and takes room until it is gone by itself.
func (s *scheduler) move(j *job) []made {
	if !j.moving || j.calls > 0 || j.answer == nil {
		return nil
	}
	if j.Caller == "" {
		s.end(j, Result{}, errMoved()) // its caller takes no results over
	} else {
		s.end(j, Result{Moved: true, Made: j.wholeStages()}, nil)
	}
	return s.leave(j)
}

// wholeStages returns where the results of all whole stages lie whose results are kept.
func (j *job) wholeStages() []StageMade {
	var out []StageMade
	for i, st := range j.Stages {
		if st.Pieces > 0 && j.missing[i] == 0 && !j.givenUp[i] {
			out = append(out, *j.stageMade(i))
		}
	}
	return out
}

// withStages adds the stages to those that are known which they lack. A stage whose results
// are freed, since the ones after it are whole, is known only from before: without it the next
// owner would make it again.
func withStages(known, more []StageMade) []StageMade {
	out := slices.Clone(known)
	for _, m := range more {
		if !slices.ContainsFunc(out, func(k StageMade) bool { return k.Stage == m.Stage }) {
			out = append(out, m)
		}
	}
	return out
}

// stageMade returns where the results of a whole stage of the job lie.
func (j *job) stageMade(stage int) *StageMade {
	m := &StageMade{Stage: stage, Pieces: make([]PieceMade, j.Stages[stage].Pieces)}
	for _, r := range j.made {
		if r.stage == stage {
			m.Pieces[r.number] = PieceMade{r.worker.member.ID, r.worker.member.Incarnation, r.handle}
		}
	}
	return m
}

// resume takes over the stages that an owner before has made of a job. It leaves out
// those whose upstreams are gone, and reports whether there is any. Results that no stage
// needs any more are freed already: their stages only count as made.
func (s *scheduler) resume(now time.Time, j *job) bool {
	any := false
	for _, m := range lastStagesFirst(j.Made) {
		if !j.lacks(m) {
			continue
		}
		if s.needs(j, m.Stage) {
			results, ok := s.resultsOf(j, m)
			if !ok {
				continue
			}
			for _, r := range results {
				r.worker.hold(r.bytes)
				j.handles[r.stage][r.number] = r.handle
			}
			j.made = append(j.made, results...)
		}
		j.missing[m.Stage], j.started[m.Stage] = 0, true
		j.times[m.Stage] = stageTimes{now, now, now}
		any = true
	}
	return any
}

func lastStagesFirst(list []StageMade) []StageMade {
	return slices.SortedFunc(slices.Values(list), func(a, b StageMade) int { return cmp.Compare(b.Stage, a.Stage) })
}

// lacks reports whether a whole stage of the job is told of that is not made here yet.
func (j *job) lacks(m StageMade) bool {
	return m.Stage >= 0 && m.Stage < len(j.Stages) && len(m.Pieces) > 0 && len(m.Pieces) == j.Stages[m.Stage].Pieces && j.missing[m.Stage] > 0
}

// countHandedAgain counts the pieces of the stages that a job lacks which was handed in
// before: some of them may have been asked for.
func (j *job) countHandedAgain() {
	for i, st := range j.Stages {
		if j.missing[i] > 0 {
			againVar.Add(st.Service+"/handed-again", int64(st.Pieces))
		}
	}
}

// goesOn reports whether a job was handed in at another owner before, or at this one too
// early: its caller has waited, and is not sent away now as long as its deadline can be kept.
// It goes behind others if it is late.
func (s *scheduler) goesOn(now time.Time, j *job) bool {
	if !j.Again {
		return false
	}
	estimate, _ := s.estimate(now, j)
	j.estimate, j.late = estimate, now.Add(estimate).After(j.goal)
	return now.Add(estimate).Before(j.deadline)
}

// resultsOf returns the results of a stage that was made under an owner before.
func (s *scheduler) resultsOf(j *job, m StageMade) (results []made, ok bool) {
	st := j.Stages[m.Stage]
	for n, p := range m.Pieces {
		w := s.services[st.Service].workers[p.Upstream]
		if w == nil || w.member.Incarnation != p.Incarnation {
			return nil, false
		}
		results = append(results, made{worker: w, handle: p.Handle, bytes: st.Bytes, stage: m.Stage, number: n})
	}
	return results, true
}

// leave gives a job up that goes on at another owner, or at this one by another
// handing in. It returns the results that nobody knows of; the others are no longer
// counted here.
func (s *scheduler) leave(j *job) []made {
	var unknown, known []made
	for _, r := range s.forget(j) {
		if j.missing[r.stage] > 0 || j.Caller == "" {
			unknown = append(unknown, r)
		} else {
			known = append(known, r)
		}
	}
	s.freed(known)
	return unknown
}

// handedIn is what this process knows of the jobs that it has handed in.
type handedIn struct {
	mu sync.Mutex
	by map[string][]StageMade // by handing in
}

func newHandedIn() *handedIn { return &handedIn{by: map[string][]StageMade{}} }

// begin expects news of a handing in that goes on with what was made before.
func (h *handedIn) begin(handed string, before []StageMade) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.by[handed] = before
}

// learn takes news in. News of jobs that have ended are left out.
func (h *handedIn) learn(n News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, expected := h.by[n.Handed]
	switch {
	case !expected:
	case n.Made == nil:
		h.by[n.Handed] = nil
	default:
		h.by[n.Handed] = append(slices.Clone(known), *n.Made)
	}
}

// end returns what was made of a handing in, and expects no more of it.
func (h *handedIn) end(handed string) []StageMade {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer delete(h.by, handed)
	return h.by[handed]
}
