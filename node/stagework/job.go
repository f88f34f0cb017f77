// Package stagework runs the stages of calls on routes. One process owns the
// queues of all upstreams that make pieces; the others hand their jobs to it.
// A single owner fills each call of an upstream with what all processes wait
// for, and starts the next one at the moment the last one ends.
package stagework

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

// Job is the stages of one call. Times are spans, since VMs' clocks differ.
type Job struct {
	ID         string        `json:"id"`     // of the call
	Handed     string        `json:"handed"` // names this handing in; a call that is handed in again gets another one
	Key        string        `json:"key"`
	Stages     []Stage       `json:"stages"`
	Left       time.Duration `json:"left"`                  // until the call is worthless
	Goal       time.Duration `json:"goal"`                  // until it is worth less; negative when that has passed
	FirstEvent time.Duration `json:"first_event,omitempty"` // until the first event of the call's answer is due
	DataCenter string        `json:"data_center"`
	Priority   int           `json:"priority,omitempty"` // 0 is the most urgent
	// Within are the data centres in which pieces and the call itself may be made.
	Within residency.Within `json:"within,omitzero"`
	Caller string           `json:"caller,omitempty"` // peer address of the process whose call it is; empty: it wants no news
	Made   []StageMade      `json:"made,omitempty"`   // stages that an owner before has made
	Again  bool             `json:"again,omitempty"`  // it was handed in before, at an owner that did not end it
	// Owner is the process that its caller takes for the owner: one that was named may not
	// have heard of it yet.
	Owner  wire.StageOwner `json:"owner"`
	Prompt *Prompt         `json:"prompt,omitempty"` // nil: no engine is to be chosen
}

// Stage is one stage of a job.
type Stage struct {
	Service string `json:"service"`
	After   []int  `json:"after,omitempty"`
	Pieces  int    `json:"pieces"` // zero: the stage is left out
	Bytes   int64  `json:"bytes"`  // of one result, about
}

// Result holds the handles of all pieces of the stages that no other follows.
type Result struct {
	Handles []string      `json:"handles"`
	Engine  wire.MemberID `json:"engine,omitempty"` // that should take the call; empty when none was chosen
	// FetchFrom is the address of an engine that keeps the shared parts of the prompt, for
	// Engine to fetch them; empty: it reads what it does not keep.
	FetchFrom string `json:"fetch_from,omitempty"`
	// Moved says that the job goes on at the next owner, with the stages that were made.
	Moved bool        `json:"moved,omitempty"`
	Made  []StageMade `json:"made,omitempty"`
	// Dark are the data centres whose upstreams the owner cannot reach, for calls that it
	// does not choose an upstream for.
	Dark []string `json:"dark,omitempty"`
}

// Done tells the owner that a handing in is over.
type Done struct {
	Handed string `json:"handed"`
	// Moved says that the job goes on elsewhere with the results that its caller was
	// told of; else no result of it is needed any more.
	Moved bool `json:"moved,omitempty"`
	// Engine says how the engine that was chosen took the call.
	Engine EngineOutcome `json:"engine,omitempty"`
}

// EngineOutcome is how a chosen engine took a call.
type EngineOutcome string

// Outcomes at engines.
const (
	EngineUnknown   EngineOutcome = ""          // the call was not sent there, or ended before it answered
	EngineBegan     EngineOutcome = "began"     // it has begun to answer
	EngineFailed    EngineOutcome = "failed"    // it did not answer, or refused the call
	EngineUnreached EngineOutcome = "unreached" // nothing answered at its address
)

// Methods of an owner.
const (
	methodRun  = "stage.run"
	methodDone = "stage.done"
)

// methodNews is a method of the processes whose calls the jobs belong to.
const methodNews = "stage.news"

// final returns which stages no other stage follows.
func (j *Job) final() []bool {
	out := make([]bool, len(j.Stages))
	for i := range out {
		out[i] = j.Stages[i].Pieces > 0
	}
	for _, s := range j.Stages {
		if s.Pieces == 0 {
			continue
		}
		for _, k := range s.After {
			out[k] = false
		}
	}
	return out
}

// valid refuses a job whose stages do not follow each other in order.
func (j *Job) valid() error {
	for i, s := range j.Stages {
		for _, k := range s.After {
			if k < 0 || k >= i {
				return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "stage %d follows stage %d", i, k)
			}
		}
	}
	return nil
}

// errNowhere refuses a job that may be made in data centres only where no upstream of a service is.
func errNowhere(service string, w residency.Within) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream in the data centres %v, where the stages may be made", service, w.DataCenters)
}

func errNoTime() error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the stages were not done in time")
}

// errBusy refuses a job that would not reach its goal.
func errBusy(comeBack time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the stages are busy").WithRetryAfter(comeBack)
}

// errMoved says that another process owns the queues.
func errMoved() error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "another process owns the stages")
}

func errStages(reason string) error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "a stage failed: %s", reason)
}
