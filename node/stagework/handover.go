package stagework

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperdrum.org/api/wire"
)

// When the stage owner is lost, the submitting processes resubmit their jobs to the
// next owner. The owner reports the results of each completed stage to the submitting process,
// so that the next owner continues from there: completed stages are not run twice, and their
// results do not occupy room (result memory) at the upstreams until they expire. Only results of
// incomplete stages are lost with an owner.

// CompletedStage lists the results of a completed stage.
type CompletedStage struct {
	Stage  int              `json:"stage"`
	Pieces []ResultLocation `json:"pieces"` // in the order of the pieces' numbers
}

// ResultLocation says where one result is stored.
type ResultLocation struct {
	Upstream    wire.MemberID `json:"upstream"`
	Incarnation uint64        `json:"incarnation,omitempty"` // of the upstream that stores the result
	Handle      string        `json:"handle"`
}

// ProgressUpdate reports the progress of a job to the process that submitted it.
type ProgressUpdate struct {
	SubmissionID string          `json:"handed"`
	Completed    *CompletedStage `json:"made,omitempty"` // nil: the job restarts, and all results reported before are gone
}

// addressedUpdate is an update for the process at a peer address.
type addressedUpdate struct {
	to string
	ProgressUpdate
}

// queueUpdate queues an update for the process that submitted the job, and reports whether
// there is one.
func (s *scheduler) queueUpdate(j *job, m *CompletedStage) bool {
	if j.Caller == "" {
		return false
	}
	s.updates = append(s.updates, addressedUpdate{j.Caller, ProgressUpdate{j.SubmissionID, m}})
	return true
}

// updatesDelivered returns the inputs to be freed, now that the submitting processes know of the
// stages made from them. Until then the next owner would need the inputs: an owner that is cut off
// from all other processes keeps running for a while.
func (s *scheduler) updatesDelivered(list []ProgressUpdate) []storedResult {
	var out []storedResult
	for _, n := range list {
		if j := s.jobs[n.SubmissionID]; j != nil {
			out = append(out, s.releaseInputs(j)...)
		}
	}
	return out
}

// dropCaller ends the jobs of a process that cannot be reached; if it is alive it resubmits them
// elsewhere. It returns the results that were not reported to the process, to be freed.
func (s *scheduler) dropCaller(address string) []storedResult {
	var out []storedResult
	for _, j := range s.jobs {
		if j.answer != nil && j.Caller == address {
			s.endJob(j, Result{}, errNotOwner())
			out = append(out, s.abandonJob(j)...)
		}
	}
	return out
}

// takeUpdates returns the updates to send, and clears them.
func (s *scheduler) takeUpdates() []addressedUpdate {
	out := s.updates
	s.updates = nil
	return out
}

// moveJob moves a job to the next owner, once the calls with pieces of it have ended: their
// results would otherwise occupy room, unused, until they expire.
func (s *scheduler) moveJob(j *job) []storedResult {
	if !j.moving || j.calls > 0 || j.answer == nil {
		return nil
	}
	if j.Caller == "" {
		s.endJob(j, Result{}, errNotOwner()) // its caller cannot take results over
	} else {
		s.endJob(j, Result{Moved: true, CompletedStages: j.completedStages()}, nil)
	}
	return s.abandonJob(j)
}

// completedStages returns the completed stages of the job whose results are still kept.
func (j *job) completedStages() []CompletedStage {
	var out []CompletedStage
	for i, st := range j.Stages {
		if st.Pieces > 0 && j.missing[i] == 0 && !j.released[i] {
			out = append(out, *j.completedStage(i))
		}
	}
	return out
}

// mergeStages adds to the known stages those that they lack. A stage whose results were freed,
// because the stages after it are complete, is only in known: without it the next owner would
// run it again.
func mergeStages(known, more []CompletedStage) []CompletedStage {
	out := slices.Clone(known)
	for _, m := range more {
		if !slices.ContainsFunc(out, func(k CompletedStage) bool { return k.Stage == m.Stage }) {
			out = append(out, m)
		}
	}
	return out
}

// completedStage returns where the results of a completed stage are stored.
func (j *job) completedStage(stage int) *CompletedStage {
	m := &CompletedStage{Stage: stage, Pieces: make([]ResultLocation, j.Stages[stage].Pieces)}
	for _, r := range j.results {
		if r.stage == stage {
			m.Pieces[r.number] = ResultLocation{r.worker.member.ID, r.worker.member.Incarnation, r.handle}
		}
	}
	return m
}

// resumeStages takes over the stages of a job that were completed under a previous owner, except
// those whose upstreams are gone or restarted, and reports whether it took any. Results that no
// stage needs any more are already freed, so their stages are only marked complete.
func (s *scheduler) resumeStages(now time.Time, j *job) bool {
	any := false
	for _, m := range latestStagesFirst(j.CompletedStages) {
		if !j.missesStage(m) {
			continue
		}
		if s.resultsNeeded(j, m.Stage) {
			results, ok := s.resultsOf(j, m)
			if !ok {
				continue
			}
			for _, r := range results {
				r.worker.addOwn(r.bytes)
				j.handles[r.stage][r.number] = r.handle
			}
			j.results = append(j.results, results...)
		}
		j.missing[m.Stage], j.started[m.Stage] = 0, true
		j.times[m.Stage] = stageTimes{ready: now, begun: now, done: now}
		any = true
	}
	return any
}

func latestStagesFirst(list []CompletedStage) []CompletedStage {
	return slices.SortedFunc(slices.Values(list), func(a, b CompletedStage) int { return cmp.Compare(b.Stage, a.Stage) })
}

// missesStage reports whether a stage that was completed elsewhere is valid and not completed here.
func (j *job) missesStage(m CompletedStage) bool {
	return m.Stage >= 0 && m.Stage < len(j.Stages) && len(m.Pieces) > 0 && len(m.Pieces) == j.Stages[m.Stage].Pieces && j.missing[m.Stage] > 0
}

// countResubmitted counts the pieces of the incomplete stages of a resubmitted job as retried, as
// some of them may have been run before.
func (j *job) countResubmitted() {
	for i, st := range j.Stages {
		if j.missing[i] > 0 {
			retriedVar.Add(st.Service+"/handed-again", int64(st.Pieces))
		}
	}
}

// resultsOf returns the results of a stage that was completed under a previous owner.
func (s *scheduler) resultsOf(j *job, m CompletedStage) (results []storedResult, ok bool) {
	st := j.Stages[m.Stage]
	for n, p := range m.Pieces {
		w := s.services[st.Service].workers[p.Upstream]
		if w == nil || w.member.Incarnation != p.Incarnation {
			return nil, false
		}
		results = append(results, storedResult{worker: w, handle: p.Handle, bytes: st.ResultBytes, stage: m.Stage, number: n})
	}
	return results, true
}

// abandonJob drops a job that continues at another owner, or at this one as another submission.
// It returns the results that the submitting process was not told of; the others are no longer
// counted here.
func (s *scheduler) abandonJob(j *job) []storedResult {
	var unknown, known []storedResult
	for _, r := range s.forgetJob(j) {
		if j.missing[r.stage] > 0 || j.Caller == "" {
			unknown = append(unknown, r)
		} else {
			known = append(known, r)
		}
	}
	s.recordFreed(known)
	return unknown
}

// submissions tracks the progress of the jobs that this process has submitted.
type submissions struct {
	mu        sync.Mutex
	completed map[string][]CompletedStage // by submission
}

func newSubmissions() *submissions { return &submissions{completed: map[string][]CompletedStage{}} }

// begin expects updates of a submission that continues from the given stages.
func (h *submissions) begin(handed string, before []CompletedStage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completed[handed] = before
}

// apply records an update. Updates of submissions that have ended are ignored.
func (h *submissions) apply(n ProgressUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, expected := h.completed[n.SubmissionID]
	switch {
	case !expected:
	case n.Completed == nil:
		h.completed[n.SubmissionID] = nil
	default:
		h.completed[n.SubmissionID] = append(slices.Clone(known), *n.Completed)
	}
}

// end returns the completed stages of a submission, and stops tracking it.
func (h *submissions) end(handed string) []CompletedStage {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer delete(h.completed, handed)
	return h.completed[handed]
}
