package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
	"caperdrum.org/node/streamorigin"
)

// versionedEngine announces an engine whose events name its version. begin answers calls that begin a stream, nil
// as usual.
func (f *fixture) versionedEngine(id, version string, begin http.HandlerFunc) *atomic.Int32 {
	var calls atomic.Int32
	f.upstream("llm", id, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if last == 0 && begin != nil {
			begin(w, r)
			return
		}
		for i := last + 1; i <= 5; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
		}
	})
	list := slices.Clone(f.view.Announced["llm"])
	list[len(list)-1].Version = version
	f.announce("llm", list)
	return &calls
}

// firstEvents sends n events of the version and breaks off.
func firstEvents(n int, version string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= n; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
		}
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestStreamContinuedByItsProcessKeepsItsVersion guards against a stream that its process continues at an upstream of
// another software version, whatever the stage owner chooses.
func TestStreamContinuedByItsProcessKeepsItsVersion(t *testing.T) {
	for range 20 {
		f := newFixture(t)
		var began string
		begin := func(version string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				began = version
				firstEvents(2, version)(w, r)
			}
		}
		for i := range 6 {
			version := fmt.Sprint("v", i%3)
			f.versionedEngine(fmt.Sprint("e", i), version, begin(version))
		}
		f.stages.engine = "e0"
		body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10"})
		if n := strings.Count(body, "data: "+began+"\n"); n != 5 {
			t.Fatalf("%d of 5 events are of version %s, at which the stream began: %q", n, began, body)
		}
	}
}

// TestVersionOfTheFirstEventCounts has the upstream of a first version answer and break off before any event: the stream
// begins at the next upstream, and is recorded with that one's version.
func TestVersionOfTheFirstEventCounts(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", firstEvents(0, "v1"))
	f.stages.engine = "e1"
	f.versionedEngine("e2", "v2", nil)
	body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10", wire.HeaderTimeout: "3s"})
	if strings.Count(body, "data: v2\n") != 5 {
		t.Fatalf("got %q", body)
	}
	if len(f.origins.begun) != 1 {
		t.Fatalf("recorded %+v", f.origins.begun)
	}
	r := f.origins.begun[0]
	if r.Key != (streamorigin.Key{Customer: "foundry", Attempt: "try-1"}) || r.Origin != (streamorigin.Origin{Service: "llm", Version: "v2"}) {
		t.Fatalf("recorded %+v", r)
	}
	if r.TTL > 3*time.Second+originGrace || r.TTL < originGrace {
		t.Fatalf("recorded for %v", r.TTL)
	}
}

// TestStreamWithoutUpstreamOfItsVersionBreaksOff has the only upstream of a version break off: the stream must not go
// on at the other version, nor look complete.
func TestStreamWithoutUpstreamOfItsVersionBreaksOff(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", firstEvents(2, "v1"))
	other := f.versionedEngine("e2", "v2", nil)
	f.stages.engine = "e1"
	_, body, err := f.send(http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10"})
	if err == nil || strings.Contains(body, "v2") || other.Load() != 0 {
		t.Fatalf("%v, %q, %d calls of the other version", err, body, other.Load())
	}
}

// TestStreamDoesNotGoOnAtACrashedUpstream guards against a stream that goes on at an upstream which has crashed and started
// again with another version, before its new record arrives.
func TestStreamDoesNotGoOnAtACrashedUpstream(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", firstEvents(2, "v1"))
	other := f.versionedEngine("e2", "v1", nil)
	f.stages.engine = "e1"
	start := f.view.Announced["llm"][1].Start()
	f.service.crashDetector.Check(quarantine.InterruptedCall{Upstream: wire.Member{ID: start.ID, Incarnation: start.Incarnation, Direct: goneAddress(t)}})
	for !f.service.crashDetector.Crashed(start) {
		time.Sleep(time.Millisecond)
	}
	_, body, err := f.send(http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10"})
	if err == nil || strings.Count(body, "data: ") != 2 || other.Load() != 0 {
		t.Fatalf("%v, %q, %d calls of the crashed upstream", err, body, other.Load())
	}
}

// goneAddress returns an address at which nothing listens.
func goneAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// TestTakenUpStreams checks the meaning of each combination of headers by which a caller takes a stream up.
func TestTakenUpStreams(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		header  map[string]string
		status  int
		version string // of all events; empty: of either
		asked   int    // lookups
		begun   int    // streams recorded
	}{
		"known":                        {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a"}, http.StatusOK, "v2", 1, 0},
		"known, of a public route":     {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "public"}, http.StatusServiceUnavailable, "", 1, 0},
		"by another route":             {"/chat/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a"}, http.StatusOK, "v2", 1, 0},
		"of another service":           {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "of-desk"}, http.StatusServiceUnavailable, "", 1, 0},
		"of another customer":          {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "of-sinter"}, http.StatusServiceUnavailable, "", 1, 0},
		"unknown":                      {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "b"}, http.StatusServiceUnavailable, "", 1, 0},
		"version without upstreams":    {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "gone"}, http.StatusServiceUnavailable, "", 1, 0},
		"not named":                    {"/quote/", map[string]string{"Last-Event-Id": "2"}, http.StatusServiceUnavailable, "", 0, 0},
		"named by an empty value":      {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": ""}, http.StatusServiceUnavailable, "", 0, 0},
		"named by an invalid value":    {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a b"}, http.StatusServiceUnavailable, "", 0, 0},
		"named by two ids":             {"/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a, b"}, http.StatusServiceUnavailable, "", 0, 0},
		"from its beginning":           {"/quote/", map[string]string{"Caperdrum-Resumes": "b"}, http.StatusOK, "", 0, 1},
		"from its beginning, known":    {"/quote/", map[string]string{"Last-Event-Id": "", "Caperdrum-Resumes": "gone"}, http.StatusOK, "", 0, 1},
		"not resumable, not named":     {"/chat/", map[string]string{"Last-Event-Id": "2"}, http.StatusServiceUnavailable, "", 0, 0},
		"not resumable, new":           {"/chat/", nil, http.StatusOK, "", 0, 0},
		"no stream, so nothing to fit": {"/confirm/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "b"}, http.StatusOK, "", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.upstream("desk", "d1", answerOK)
			calls := []*atomic.Int32{f.versionedEngine("e1", "v1", nil), f.versionedEngine("e2", "v2", nil)}
			for key, origin := range map[streamorigin.Key]streamorigin.Origin{
				{Customer: "foundry", Attempt: "a"}:        {Service: "llm", Version: "v2"},
				{Customer: "foundry", Attempt: "of-desk"}:  {Service: "desk", Version: "v1"},
				{Customer: "sinter", Attempt: "of-sinter"}: {Service: "llm", Version: "v1"},
				{Attempt: "public"}:                        {Service: "llm", Version: "v1"},
				{Customer: "foundry", Attempt: "gone"}:     {Service: "llm", Version: "v0"},
			} {
				f.origins.known[key] = origin
			}
			body := f.wantStatus(c.status, http.MethodPost, c.path, c.header)
			for _, n := range calls {
				if c.status != http.StatusOK && n.Load() > 0 {
					t.Error("a refused call reached an upstream")
				}
			}
			if c.status != http.StatusOK && !strings.Contains(body, verdict.NotRun.String()) {
				t.Errorf("refused by %s", body)
			}
			if c.version != "" && strings.Count(body, "data: "+c.version+"\n") != 3 {
				t.Errorf("got %q", body)
			}
			if len(f.origins.asked) != c.asked || len(f.origins.begun) != c.begun {
				t.Errorf("asked for %v, recorded %v", f.origins.asked, f.origins.begun)
			}
		})
	}
}

// TestStreamThatCannotBeNamedIsNotRecorded has callers send ids that no header can name, as long as a header may be: the
// memory for records must not depend on them.
func TestStreamThatCannotBeNamedIsNotRecorded(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", nil)
	for _, id := range []string{strings.Repeat("a", 20_000), "a b", "é"} {
		f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{wire.HeaderRequestID: id})
	}
	if len(f.origins.begun) > 0 {
		t.Fatalf("recorded %d streams", len(f.origins.begun))
	}
}

// TestRecordsDoNotLastAsLongAsCallersSay has a caller say that it waits for a year: its record must not outlast those of
// others, which would be dropped first.
func TestRecordsDoNotLastAsLongAsCallersSay(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", nil)
	f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{wire.HeaderTimeout: "8760h"})
	if ttl := f.origins.begun[0].TTL; ttl > maxRecordedTimeouts*5*time.Second+originGrace {
		t.Fatalf("recorded for %v on a route with a timeout of 5 s", ttl)
	}
}

// TestPausedVersionIsRefusedWithItsPause has the only upstream of a version ask for a pause: streams that began there
// are refused at once with that pause, although the other version serves.
func TestPausedVersionIsRefusedWithItsPause(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.versionedEngine("e2", "v2", nil)
	f.origins.known[streamorigin.Key{Customer: "foundry", Attempt: "a"}] = streamorigin.Origin{Service: "llm"}
	header := map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a"}
	f.wantStatus(http.StatusServiceUnavailable, http.MethodPost, "/quote/", header) // asks for the pause
	resp, _, err := f.send(http.MethodPost, "/quote/", header)
	if err != nil {
		t.Fatal(err)
	}
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || after <= 1.5 || after > 3 {
		t.Fatalf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", nil)
}

// TestStreamOfAVersionThatWasRolledBackGoesOn excludes a version from new calls: streams that began there go on there,
// and the rollout does not count them as its choices.
func TestStreamOfAVersionThatWasRolledBackGoesOn(t *testing.T) {
	f := newFixture(t)
	f.versionedEngine("e1", "v1", nil)
	f.versionedEngine("e2", "v2", nil)
	f.origins.known[streamorigin.Key{Customer: "foundry", Attempt: "a"}] = streamorigin.Origin{Service: "llm", Version: "v2"}
	view := f.view
	view.Announced = map[string][]wire.Member{"llm": view.AllVersions["llm"][:1]}
	f.service.applyView(&view)
	for range 5 {
		if body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", nil); strings.Contains(body, "v2") {
			t.Fatalf("a new stream begins at the excluded version: %q", body)
		}
		if body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": "a"}); strings.Count(body, "v2") != 3 {
			t.Fatalf("got %q", body)
		}
	}

	list := versionedUpstreams()
	e := newEndpoints(noNotices())
	e.setRollouts(rolloutWithShare(0.5))
	pinned := slices.DeleteFunc(slices.Clone(list), func(m wire.Member) bool { return m.Version != "v2" })
	sent := map[string]int{}
	for i := range 200 {
		now := time.Unix(1000, int64(i))
		if m, _, ok := e.acquire(pinned, criteria{dataCenter: "north", pinned: true}, now); !ok || m.Version != "v2" {
			t.Fatal("no upstream of the version", m)
		}
		m, _, _ := e.acquire(list, criteria{dataCenter: "north"}, now)
		sent[m.Version]++
	}
	if n := sent["v2"]; n < 99 || n > 102 {
		t.Fatalf("%d of 200 new calls at the target, want half", n)
	}
}

// TestServiceOfOneVersion has a service that has had one version only: streams that are not known otherwise go on there.
// Those that began elsewhere by their record do not.
func TestServiceOfOneVersion(t *testing.T) {
	for name, c := range map[string]struct {
		resumes string
		sole    bool
		status  int
		asked   int // whether the service has had one version only
	}{
		"not named":                  {"", true, http.StatusOK, 1},
		"unknown":                    {"b", true, http.StatusOK, 1},
		"invalid":                    {"a b", true, http.StatusOK, 1},
		"known":                      {"a", true, http.StatusOK, 0},
		"of a version that has gone": {"gone", true, http.StatusServiceUnavailable, 0},
		"several versions":           {"b", false, http.StatusServiceUnavailable, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.versionedEngine("e1", "v1", nil)
			f.origins.known[streamorigin.Key{Customer: "foundry", Attempt: "a"}] = streamorigin.Origin{Service: "llm", Version: "v1"}
			f.origins.known[streamorigin.Key{Customer: "foundry", Attempt: "gone"}] = streamorigin.Origin{Service: "llm", Version: "v0"}
			asked := 0
			f.service.soleVersion = func(_ context.Context, service string) (string, bool) {
				if asked++; service != "llm" {
					t.Errorf("asked for %s", service)
				}
				return "v1", c.sole
			}
			f.wantStatus(c.status, http.MethodPost, "/quote/", map[string]string{"Last-Event-Id": "2", "Caperdrum-Resumes": c.resumes})
			if asked != c.asked {
				t.Errorf("asked %d times", asked)
			}
		})
	}
}
