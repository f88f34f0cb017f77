package stagework

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"caperdrum.org/api/wire"
)

// TestInvalidSharesAreIgnored guards against a job or a result that is lost for an invalid share.
func TestInvalidSharesAreIgnored(t *testing.T) {
	for text, want := range map[string]shares{
		`{"a":0.5,"b":2}`:                     {"a": 0.5, "b": 2},
		`{"a":-0.1,"b":2.01,"c":0,"d":1e300}`: nil,
		`{"a":"0.5","b":null,"c":{},"d":[1]}`: nil,
		`{"a":"NaN","b":0.7}`:                 {"b": 0.7},
		`[0.5]`:                               nil,
		`"x"`:                                 nil,
		`null`:                                nil,
		`{}`:                                  nil,
		`{"a":1e999,"b":0.25}`:                {"b": 0.25},
	} {
		j := Job{Throughput: shares{"old": 1}}
		if err := json.Unmarshal([]byte(`{"id":"j","throughput":`+text+`,"left":5}`), &j); err != nil || j.ID != "j" || j.TimeLeft != 5 {
			t.Errorf("%s: %v, %+v", text, err, j)
		}
		if !maps.Equal(j.Throughput, want) {
			t.Errorf("%s: %v, want %v", text, j.Throughput, want)
		}
	}
}

// TestVersionBeforeKnowsNoShares reads a job and a result of the previous version, and writes those without shares as it
// did.
func TestVersionBeforeKnowsNoShares(t *testing.T) {
	var j Job
	var r Result
	if err := json.Unmarshal([]byte(`{"id":"j","handed":"s","left":5}`), &j); err != nil || j.Throughput != nil {
		t.Errorf("%v, %v", err, j.Throughput)
	}
	if err := json.Unmarshal([]byte(`{"handles":["h"]}`), &r); err != nil || r.Throughput != nil {
		t.Errorf("%v, %v", err, r.Throughput)
	}
	for _, v := range []any{j, r} {
		if text, err := json.Marshal(v); err != nil || strings.Contains(string(text), "throughput") {
			t.Errorf("%s, %v", text, err)
		}
	}
}

// TestNewOwnerTakesOverShares has a job bring shares to a new owner: they count for services that it knows and has not
// measured, once in each ownership, and measurements replace them.
func TestNewOwnerTakesOverShares(t *testing.T) {
	s, now := fleetOwner(90)
	share := func(service string) float64 {
		q := s.services[service]
		return math.Round(100*q.meter.share(q.nominalThroughput())) / 100
	}
	now = now.Add(time.Minute)
	measured := s.services["front"]
	measured.meter.play(now, repeated(100, meterStep{100 * time.Millisecond, true, measured.nominalThroughput(), 0}))
	own := share("front")
	now = now.Add(10 * time.Second)
	used := s.takeOverShares(now, shares{"front": 1, "catalog": 0.4, "courier": math.NaN(), "unknown": 0.5})
	if !maps.Equal(used, shares{"catalog": 0.4}) {
		t.Errorf("took over %v", used)
	}
	if share("catalog") != 0.4 || share("courier") != initialShare || share("front") != own {
		t.Errorf("catalog %.2f, courier %.2f, front %.2f", share("catalog"), share("courier"), share("front"))
	}
	if again := s.takeOverShares(now, shares{"catalog": 0.9, "courier": 0.9}); again != nil || share("catalog") != 0.4 {
		t.Errorf("took over %v again", again)
	}
	catalog := s.services["catalog"]
	catalog.meter.play(now, repeated(100, meterStep{100 * time.Millisecond, true, catalog.nominalThroughput(), int(catalog.nominalThroughput() / 10)}))
	if share("catalog") < 0.9 {
		t.Errorf("share %.2f after 10 s at the nominal throughput", share("catalog"))
	}
	s.setOwner(now, false, true)
	if used := s.takeOverShares(now, shares{"catalog": 0.5}); used != nil {
		t.Errorf("took over %v without the queues", used)
	}
	s.setOwner(now, true, true)
	if share("catalog") != initialShare {
		t.Errorf("share %.2f at the start of another ownership", share("catalog"))
	}
	if used := s.takeOverShares(now, shares{"catalog": 0.5}); !maps.Equal(used, shares{"catalog": 0.5}) {
		t.Errorf("took over %v in another ownership", used)
	}
}

// TestOwnerSendsMeasuredSharesOnly guards against shares in answers that come from too little measurement, or that JSON
// cannot hold.
func TestOwnerSendsMeasuredSharesOnly(t *testing.T) {
	s, now := fleetOwner(90)
	if got := s.measuredShares(); got != nil {
		t.Errorf("sends %v before any measurement", got)
	}
	half := func(q *serviceQueue, parts int) {
		q.meter.play(now, repeated(parts, meterStep{100 * time.Millisecond, true, q.nominalThroughput(), int(q.nominalThroughput() / 20)}))
	}
	half(s.services["front"], 2)
	half(s.services["catalog"], 50)
	got := s.measuredShares()
	if len(got) != 1 || math.Abs(got["catalog"]-0.5) > 0.05 {
		t.Errorf("sends %v", got)
	}
	if _, err := json.Marshal(Result{Throughput: got}); err != nil {
		t.Error(err)
	}
}

// TestKnownShares follows what a process knows over answers of several owners.
func TestKnownShares(t *testing.T) {
	var k knownShares
	a, b := shares{"a": 0.4}, shares{"a": 0.6}
	check := func(when string, epoch uint64, want shares) {
		t.Helper()
		if got := k.forOwner(epoch); !maps.Equal(got, want) {
			t.Errorf("%s: sends %v to the owner of epoch %d, want %v", when, got, epoch, want)
		}
	}
	check("at the start", 1, nil)
	k.record(1, a)
	check("first shares", 1, nil)
	check("first shares", 2, a)
	k.record(0, b)
	check("answer to a job without an owner", 2, a)
	k.record(2, nil)
	check("answered without shares", 2, nil)
	check("lost before it measured", 3, a)
	k.recordRefusal(3)
	check("answered by a refusal", 3, nil)
	k.record(4, b)
	k.record(1, a)
	check("late answer of an earlier owner", 5, b)
	k.record(4, nil)
	check("not busy any more", 5, nil)
}

// TestSharesReachTheNextOwner has an owner send shares and another one take over: jobs bring the shares until it has
// answered.
func TestSharesReachTheNextOwner(t *testing.T) {
	first, second := newFakeOwner(t, "before", "stays"), newFakeOwner(t, "stays", "refused", "after")
	s := newClientService(t)
	s.link.setOwner(wire.StageOwner{ID: "first", Peer: first.address, Epoch: 1}, false)
	run := func(o *fakeOwner, id string, r Result, err error, want shares) {
		t.Helper()
		got := s.runAsync(context.Background(), id)
		<-o.arrived
		if j := o.submitted(t, id); !maps.Equal(j.Throughput, want) {
			t.Errorf("%s brings %v, want %v", id, j.Throughput, want)
		}
		o.results[id] = r
		o.answer[id] <- err
		<-got
	}
	run(first, "before", Result{Throughput: shares{"a": 0.4}}, nil, nil)
	stays := s.runAsync(context.Background(), "stays")
	<-first.arrived
	s.link.setOwner(wire.StageOwner{ID: "second", Peer: second.address, Epoch: 2}, false)
	<-second.arrived
	if j := second.submitted(t, "stays"); !maps.Equal(j.Throughput, shares{"a": 0.4}) || !j.Resubmitted {
		t.Errorf("the resubmitted job brings %v", j.Throughput)
	}
	run(second, "refused", Result{}, errOverloaded(time.Second), shares{"a": 0.4})
	run(second, "after", Result{}, nil, nil)
	second.answer["stays"] <- nil
	if a := <-stays; a.err != nil {
		t.Fatal(a.err)
	}
}

// TestTakenOverThroughputIsLoggedOnce submits two jobs with shares to a new owner: it logs the values once, and sends
// none that it has not measured.
func TestTakenOverThroughputIsLoggedOnce(t *testing.T) {
	s := newNamedOwner(t)
	lines := make(chan string, 100)
	ready := make(chan struct{})
	s.post(func(now time.Time) {
		s.log = funcr.New(func(_, args string) { lines <- args }, funcr.Options{})
		s.scheduler.setServices(services, nil)
		s.setOwnership(now, wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 5}, true, "view")
		close(ready)
	})
	<-ready
	for range 2 {
		r, err := s.handleRun(t.Context(), &Job{ID: "j", SubmissionID: "j", TimeLeft: time.Minute, Goal: time.Minute, Throughput: shares{"a": 0.4, "b": 7}})
		if err != nil || r.Throughput != nil {
			t.Fatalf("%+v, %v", r, err)
		}
	}
	taken := 0
	for len(lines) > 0 {
		if line := <-lines; strings.Contains(line, "throughput taken over") {
			if taken++; !strings.Contains(line, `"a"`) || strings.Contains(line, `"b"`) {
				t.Errorf("logged %s", line)
			}
		}
	}
	if taken != 1 {
		t.Errorf("logged %d times", taken)
	}
}
