package proxy

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"caperdrum.org/api/optext"
)

// Counters since the start of the process. Labels are routes, services and codes
// of the text and of package verdict, so their number is bounded.
var (
	callsVar           = expvar.NewMap("proxy_calls")          // admitted, by route
	sendsVar           = expvar.NewMap("proxy_sends")          // calls of upstreams, by service
	failedSendsVar     = expvar.NewMap("proxy_failed_sends")   // without an answer, by service
	repeatsVar         = expvar.NewMap("proxy_repeats")        // calls that upstreams get beyond the first of a request, by service/reason
	deniedVar          = expvar.NewMap("proxy_repeats_denied") // by the quota, by service/reason
	refusedVar         = expvar.NewMap("proxy_refused")        // by code/verdict
	callersLeftVar     = expvar.NewInt("proxy_callers_left")
	upstreamCrashesVar = expvar.NewMap("proxy_upstreams_ended_under_calls") // calls that broke off since their upstream ended, by service
	barredVar          = expvar.NewMap("proxy_barred")                      // calls kept from upstreams since they end them, by route
	streamsBrokenVar   = expvar.NewInt("proxy_streams_broken")
	heldBytesVar       = expvar.NewInt("proxy_held_bytes")       // of bodies, and of answers that callers have not taken yet
	overBudgetVar      = expvar.NewInt("proxy_held_over")        // answers that were read without room for them, one at a time
	bodiesRefusedVar   = expvar.NewInt("proxy_bodies_refused")   // since there was no room for them
	slowCallersVar     = expvar.NewInt("proxy_callers_too_slow") // whose answers were cut off since they did not take them in time
)

// Bounds of the latency histograms: a microsecond to ten minutes, to two digits.
const (
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// latencies are histograms of whole answers, by route, in microseconds.
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
	// Values above the bound are cut: no call lasts that long.
	h.RecordValue(min(took.Microseconds(), latencyMax))
}

// quantiles of a histogram, as its metrics show them.
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
		return "{}" // numbers always encode
	}
	return string(data)
}
