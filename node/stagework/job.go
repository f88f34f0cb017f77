// Package stagework runs the pipeline stages of calls on routes. One process, the
// owner, holds the queues of all upstreams that process pieces; the other processes
// submit their jobs to it. A single owner can batch pieces of all processes into one
// call of an upstream, and starts the next call as soon as the last one ends.
package stagework

import (
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/residency"
)

// Job describes the stages of one call. Times are durations from now, as the clocks of
// VMs differ.
type Job struct {
	ID           string        `json:"id"`     // of the call
	SubmissionID string        `json:"handed"` // ID of this submission; each resubmission of a call gets a new one
	Key          string        `json:"key"`
	Stages       []Stage       `json:"stages"`
	TimeLeft     time.Duration `json:"left"`                  // until the call's deadline
	Patience     time.Duration `json:"patience,omitempty"`    // until the caller abandons a call whose answer has not begun; zero: at the deadline
	Goal         time.Duration `json:"goal"`                  // until the latency goal; negative once that has passed
	FirstEvent   time.Duration `json:"first_event,omitempty"` // until the first event of the call's answer is due
	DataCenter   string        `json:"data_center"`
	Priority     int           `json:"priority,omitempty"` // the customer's if it has one, else the route's; 0 is the most urgent
	// RoutePriority ranks jobs of the same priority.
	RoutePriority int     `json:"route_priority,omitempty"`
	Customer      string  `json:"customer,omitempty"` // empty: unknown, or a public route; all such jobs count as one customer
	Weight        float64 `json:"weight,omitempty"`   // of the customer's share; 0 counts as 1
	// Within lists the data centres in which the pieces and the call itself may run.
	Within          residency.AllowedDataCenters `json:"within,omitzero"`
	Caller          string                       `json:"caller,omitempty"` // peer address of the submitting process; empty: it wants no progress updates
	CompletedStages []CompletedStage             `json:"made,omitempty"`   // stages completed under previous owners
	Resubmitted     bool                         `json:"again,omitempty"`  // a previous owner may have taken it, and did not finish it
	// Owner is the process that the caller believes to be the owner. A newly named owner
	// may learn of its role from this field first.
	Owner  wire.StageOwner `json:"owner"`
	Prompt *Prompt         `json:"prompt,omitempty"` // nil: no engine is to be chosen
}

// Stage is one stage of a job.
type Stage struct {
	Service     string `json:"service"`
	DependsOn   []int  `json:"after,omitempty"`
	Pieces      int    `json:"pieces"` // zero: the stage is skipped
	ResultBytes int64  `json:"bytes"`  // approximate size of one result
}

// Result holds the handles of all pieces of the final stages, those that no other stage
// depends on.
type Result struct {
	Handles []string      `json:"handles"`
	Engine  wire.MemberID `json:"engine,omitempty"` // that should take the call; empty: none was chosen
	// FetchFrom is the address of an engine that caches the shared parts of the prompt, from
	// which Engine should fetch them; empty: Engine prefills what it does not have.
	FetchFrom string `json:"fetch_from,omitempty"`
	// Permitted says that the owner knows of a request limit of Engine, and that it admits the call.
	Permitted bool `json:"permitted,omitempty"`
	// Moved says that the job continues at the next owner, from the completed stages.
	Moved           bool             `json:"moved,omitempty"`
	CompletedStages []CompletedStage `json:"made,omitempty"`
	// UnreachableDataCenters lists the data centres whose upstreams the owner cannot reach, for calls whose
	// upstream the owner does not choose.
	UnreachableDataCenters []string `json:"dark,omitempty"`
}

// Done tells the owner that a submission is over.
type Done struct {
	SubmissionID string `json:"handed"`
	// Moved says that the job continues elsewhere with the results reported to its caller.
	// Otherwise none of its results is needed any more.
	Moved bool `json:"moved,omitempty"`
	// Engine says how the call went at the chosen engine.
	Engine EngineOutcome `json:"engine,omitempty"`
}

// EngineOutcome is how a call went at the engine chosen for it.
type EngineOutcome string

// Outcomes at engines.
const (
	EngineUnknown     EngineOutcome = ""          // the call was not sent there, or ended before the engine answered
	EngineStarted     EngineOutcome = "began"     // the engine started to answer
	EngineFailed      EngineOutcome = "failed"    // the engine did not answer, or refused the call
	EngineUnreachable EngineOutcome = "unreached" // no connection to the engine's address
)

// Peer methods of the owner.
const (
	methodRun  = "stage.run"
	methodDone = "stage.done"
)

// methodProgress is the peer method of the submitting processes.
const methodProgress = "stage.news"

// maxRoutePriority bounds the priorities of routes that are told apart among jobs of one priority.
const maxRoutePriority = 1000

// rank orders jobs by their priority, and those of the same priority by that of their route; the least is the most urgent.
func (j *Job) rank() int {
	return j.Priority*maxRoutePriority + min(max(j.RoutePriority, 0), maxRoutePriority-1)
}

// finalStages marks the stages that no other stage depends on.
func (j *Job) finalStages() []bool {
	out := make([]bool, len(j.Stages))
	for i := range out {
		out[i] = j.Stages[i].Pieces > 0
	}
	for _, s := range j.Stages {
		if s.Pieces == 0 {
			continue
		}
		for _, k := range s.DependsOn {
			out[k] = false
		}
	}
	return out
}

// validate rejects a job with a stage that depends on itself or on a later one.
func (j *Job) validate() error {
	for i, s := range j.Stages {
		for _, k := range s.DependsOn {
			if k < 0 || k >= i {
				return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "stage %d follows stage %d", i, k)
			}
		}
	}
	return nil
}

// errNoAllowedUpstream refuses a job when a service has no upstream in the data centres in which
// the job may run.
func errNoAllowedUpstream(service string, w residency.AllowedDataCenters) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "service %s has no upstream in the data centres %v, where the stages may be made", service, w.DataCenters)
}

func errDeadlineExceeded() error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the stages were not done in time")
}

// errOverloaded refuses a job for which the work ahead leaves no time.
func errOverloaded(comeBack time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the stages are busy").WithRetryAfter(comeBack)
}

// errEnginesLimited refuses a job whose call the request limits of the engines do not admit.
func errEnginesLimited(service string, retryAfter time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "all upstreams of service %s limit their requests", service).WithRetryAfter(retryAfter)
}

// errNotOwner says that another process owns the queues.
func errNotOwner() error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamLeaving, "another process owns the stages")
}

func errStageFailed(reason string) error {
	return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "a stage failed: %s", reason)
}
