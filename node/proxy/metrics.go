package proxy

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"caperdrum.org/api/optext"
)

// Counters since the start of the process. Labels are configured routes and services, and codes of package
// verdict, so their number is bounded.
var (
	callsVar            = expvar.NewMap("proxy_calls")            // admitted calls, by route
	sendsVar            = expvar.NewMap("proxy_sends")            // attempts sent to upstreams, by service
	failedSendsVar      = expvar.NewMap("proxy_failed_sends")     // attempts without a response, by service
	repeatsVar          = expvar.NewMap("proxy_repeats")          // attempts after the first of a call, by service/reason
	deniedVar           = expvar.NewMap("proxy_repeats_denied")   // repeats denied by the quota, by service/reason
	refusedVar          = expvar.NewMap("proxy_refused")          // refused calls, by code/verdict
	connectionWaitsVar  = expvar.NewMap("proxy_connection_waits") // calls that found all connections to upstreams in use, by service/result
	callersLeftVar      = expvar.NewInt("proxy_callers_left")
	upstreamCrashesVar  = expvar.NewMap("proxy_upstreams_ended_under_calls") // calls that broke because their upstream's process ended, by service
	barredVar           = expvar.NewMap("proxy_barred")                      // calls refused because upstreams crashed on them, by route
	streamsBrokenVar    = expvar.NewInt("proxy_streams_broken")
	answersEndedVar     = expvar.NewMap("proxy_answers_ended")     // responses whose body was read, by service/framing/ending
	streamsContinuedVar = expvar.NewMap("proxy_streams_continued") // streams that went on at another upstream, by service/result
	heldBytesVar        = expvar.NewInt("proxy_held_bytes")        // reserved for bodies, and for responses that callers have not read yet
	overBudgetVar       = expvar.NewInt("proxy_held_over")         // responses read in excess of the memory budget, one at a time
	bodiesRefusedVar    = expvar.NewInt("proxy_bodies_refused")    // bodies refused for lack of memory
	slowCallersVar      = expvar.NewInt("proxy_callers_too_slow")  // responses aborted because the caller did not read them in time
)

// Range of the latency histograms: 1 us to 10 min, with two significant digits.
const (
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// latencies are histograms of the time until the complete response, in microseconds, by route.
type latencies struct {
	mu      sync.Mutex
	byRoute map[string]*hdrhistogram.Histogram
}

var answerLatencies = newLatencies()

func newLatencies() *latencies {
	l := &latencies{byRoute: map[string]*hdrhistogram.Histogram{}}
	expvar.Publish("proxy_answer_us", l)
	return l
}

func observe(r *optext.Route, took time.Duration) {
	answerLatencies.mu.Lock()
	defer answerLatencies.mu.Unlock()
	h := answerLatencies.byRoute[r.Name]
	if h == nil {
		h = hdrhistogram.New(1, latencyMax, latencyDigits)
		answerLatencies.byRoute[r.Name] = h
	}
	// Longer values are capped; no call lasts that long.
	h.RecordValue(min(took.Microseconds(), latencyMax))
}

// quantiles summarizes a histogram, in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String implements expvar.Var.
func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]quantiles{}
	for name, h := range l.byRoute {
		out[name] = quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}" // cannot happen: integers always encode
	}
	return string(data)
}
