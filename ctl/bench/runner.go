package bench

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
)

// Reply is what became of a request that was sent, maybe more than once.
type Reply struct {
	Status   int
	Verdict  verdict.Verdict
	Cut      bool // its event stream broke off
	Whole    bool
	Text     string          // generated text or confirmation
	First    time.Time       // of the first token; zero without one
	Gaps     []time.Duration // between tokens
	Sends    int
	Cuts     int    // event streams that broke off, over all sends
	Reason   string // of a failure
	Answered bool   // an entry answered, with whatever status
}

// Sender sends a request with what is left of its deadline and waits for the
// reply.
type Sender interface {
	Send(ctx context.Context, r *Request, deadline time.Time) Reply
}

// Outcome is a request with its reply. Times count from the intended start.
type Outcome struct {
	Request *Request
	Reply   Reply
	Late    time.Duration // of the actual start
	Latency time.Duration
	First   time.Duration // zero without a token
}

// Run sends every request of the schedule at its time, whether earlier ones
// are answered or not (an open loop), and measures from the intended start, so
// that a stall of the system, or of this process, shows in the latencies of
// all requests that it delayed (Tene, "How NOT to Measure Latency", 2015).
func Run(ctx context.Context, clock clockwork.Clock, schedule []*Request, sender Sender, done func(Outcome)) {
	start := clock.Now()
	var wg sync.WaitGroup
	for _, r := range schedule {
		due := start.Add(r.At)
		if wait := due.Sub(clock.Now()); wait > 0 {
			clock.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { done(perform(ctx, clock, r, due, sender)) })
	}
	wg.Wait()
}

func perform(ctx context.Context, clock clockwork.Clock, r *Request, due time.Time, sender Sender) Outcome {
	o := Outcome{Request: r, Late: clock.Since(due)}
	o.Reply = sender.Send(ctx, r, due.Add(r.Flow.Deadline))
	o.Latency = clock.Since(due)
	if !o.Reply.First.IsZero() {
		o.First = o.Reply.First.Sub(due)
	}
	return o
}

// Class sorts outcomes.
type Class int

// Classes of outcomes.
const (
	Attained Class = iota // whole, correct, within the deadline
	TooLate               // whole and correct after the deadline
	Refused               // not run, by the system's word
	Failed                // anything else without a whole answer
	Wrong                 // whole, but not the answer to this request
)

// Class sorts the outcome.
func (o Outcome) Class() Class {
	switch {
	case o.Reply.Whole && o.Reply.Text != o.Request.Expect:
		return Wrong
	case o.Reply.Whole && o.Latency <= o.Request.Flow.Deadline:
		return Attained
	case o.Reply.Whole:
		return TooLate
	case o.Reply.Answered && o.Reply.Verdict == verdict.NotRun:
		return Refused
	default:
		return Failed
	}
}
