package bench

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/verdict"
)

// Reply is the result of a request, possibly after several sends.
type Reply struct {
	Status         int
	Verdict        verdict.Verdict
	Truncated      bool // the event stream of the last send was truncated
	Complete       bool
	Text           string          // generated text or confirmation
	FirstToken     time.Time       // time of the first token; zero if there was none
	TokenGaps      []time.Duration // times between tokens
	Sends          int
	TruncatedSends int    // truncated event streams over all sends
	Reason         string // reason of a failure
	Answered       bool   // an entry responded, with any status
}

// Sender sends a request with the remaining time of its deadline and waits for the reply.
type Sender interface {
	Send(ctx context.Context, r *Request, deadline time.Time) Reply
}

// Outcome is a request with its reply. Times are measured from the intended start.
type Outcome struct {
	Request    *Request
	Reply      Reply
	StartDelay time.Duration // delay of the actual start
	Latency    time.Duration
	FirstToken time.Duration // time to the first token; zero if there was none
}

// Run sends every request of the schedule at its time, regardless of earlier replies (an open loop), and
// measures from the intended start. That way a stall of the system or of this process shows in the latencies
// of all requests that it delayed (Tene, "How NOT to Measure Latency", 2015).
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
	o := Outcome{Request: r, StartDelay: clock.Since(due)}
	o.Reply = sender.Send(ctx, r, due.Add(r.Flow.Deadline))
	o.Latency = clock.Since(due)
	if !o.Reply.FirstToken.IsZero() {
		o.FirstToken = o.Reply.FirstToken.Sub(due)
	}
	return o
}

// Class classifies outcomes.
type Class int

// Classes of outcomes.
const (
	Attained Class = iota // complete and correct within the deadline
	TooLate               // complete and correct after the deadline
	Refused               // rejected with the verdict that it did not run
	Failed                // any other outcome without a complete response
	Wrong                 // complete, but not the response to this request
)

// Class returns the class of the outcome.
func (o Outcome) Class() Class {
	switch {
	case o.Reply.Complete && o.Reply.Text != o.Request.Expected:
		return Wrong
	case o.Reply.Complete && o.Latency <= o.Request.Flow.Deadline:
		return Attained
	case o.Reply.Complete:
		return TooLate
	case o.Reply.Answered && o.Reply.Verdict == verdict.NotRun:
		return Refused
	default:
		return Failed
	}
}
