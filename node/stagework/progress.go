package stagework

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"caperdrum.org/api/wire"
)

// job is how far a Job has come.
type job struct {
	Job
	serial     uint64
	arrived    time.Time
	calls      int // under way with pieces of it
	deadline   time.Time
	goal       time.Time
	firstEvent time.Time       // by when the call's first event is due
	tail       []time.Duration // by stage: what follows it takes at least
	handles    [][]string      // by stage and piece
	missing    []int           // by stage: pieces not made yet
	started    []bool
	fetched    []int        // by stage: pieces whose inputs an upstream has fetched
	givenUp    []bool       // by stage: its results are, at least in part
	times      []stageTimes // by stage
	made       []made
	restarts   int
	returned   bool                // its caller was sent away before
	moving     bool                // it goes on at another owner once its calls have ended
	late       bool                // it was taken in although it misses its goal
	pick       *pick               // nil until its engine is chosen
	estimate   time.Duration       // of its stages, when it was taken in; zero where nothing was estimated
	answer     func(Result, error) // nil once called
	standing   standing
	expires    time.Time // when its results are gone by themselves
}

// stageTimes are the moments of one stage of a job; zero while they have not come.
type stageTimes struct {
	ready, begun, made time.Time
}

// begin notes that the first pieces of a stage are in a call.
func (j *job) begin(stage int, now time.Time) {
	if t := &j.times[stage]; t.begun.IsZero() {
		t.begun = now
	}
}

// lastCall is when the last call with pieces of the job was under way; when it arrived
// where there was none.
func (j *job) lastCall() time.Time {
	last := j.arrived
	for _, t := range j.times {
		for _, at := range []time.Time{t.begun, t.made} {
			if at.After(last) {
				last = at
			}
		}
	}
	return last
}

// trace says for each stage how long its pieces waited for a call, and how long
// they were being made: what a log line needs to show where a job's time went.
func (j *job) trace() string {
	var b strings.Builder
	for i, t := range j.times {
		if t.ready.IsZero() {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d:", i)
		if t.begun.IsZero() {
			b.WriteString("waits")
			continue
		}
		fmt.Fprintf(&b, "%d", t.begun.Sub(t.ready).Milliseconds())
		if !t.made.IsZero() {
			fmt.Fprintf(&b, "+%d", t.made.Sub(t.begun).Milliseconds())
		}
	}
	return b.String()
}

// engine is the one that takes the job's call, once it is chosen.
func (j *job) engine() wire.MemberID {
	if j.pick == nil {
		return ""
	}
	return j.pick.engine
}

// result is what the job's caller gets.
func (j *job) result() Result {
	r := Result{Handles: j.finalHandles(), Engine: j.engine()}
	if j.pick != nil {
		r.FetchFrom = j.pick.fetch.from()
	}
	return r
}

// made is a result that an upstream holds.
type made struct {
	worker *worker
	handle string
	bytes  int64
	stage  int
	number int
}

// home returns the data centre in which a stage should run: where most bytes of
// its inputs lie, or, for a first stage whose results the engine fetches, where
// that is. It is empty when little is moved.
func (j *job) home(stage int) string {
	st := j.Stages[stage]
	if len(st.After) == 0 {
		if j.final()[stage] && int64(st.Pieces)*st.Bytes >= largeBytes {
			return j.DataCenter
		}
		return ""
	}
	at := map[string]int64{}
	best, all := "", int64(0)
	for _, m := range j.made {
		if !slices.Contains(st.After, m.stage) {
			continue
		}
		dc := m.worker.member.DataCenter
		at[dc] += m.bytes
		all += m.bytes
		if at[dc] > at[best] {
			best = dc
		}
	}
	if all*int64(st.Pieces) < largeBytes { // each piece fetches all inputs
		return ""
	}
	return best
}

// pieces counts the pieces of all stages.
func (j *job) pieces() int {
	n := 0
	for _, st := range j.Stages {
		n += st.Pieces
	}
	return n
}

func (j *job) ready(stage int) bool {
	for _, k := range j.Stages[stage].After {
		if j.missing[k] > 0 {
			return false
		}
	}
	return true
}

// finalBytes are the bytes of the results that the job's engine fetches, by the data
// centre in which they lie.
func (j *job) finalBytes() map[string]int64 {
	out := map[string]int64{}
	final := j.final()
	for _, m := range j.made {
		if final[m.stage] {
			out[m.worker.member.DataCenter] += m.bytes
		}
	}
	return out
}

func (j *job) finalHandles() []string {
	var out []string
	for i, final := range j.final() {
		if final {
			out = append(out, j.handles[i]...)
		}
	}
	return out
}

func (j *job) inputs(stage int) []string {
	var out []string
	for _, k := range j.Stages[stage].After {
		out = append(out, j.handles[k]...)
	}
	return out
}
