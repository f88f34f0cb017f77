package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
)

// partSuspects returns suspects of which the part with the id is one, for calls to the service llm.
func (f *fixture) partSuspects(id string, barred bool) wire.Suspects {
	e := quarantine.NewEvidence(quarantine.NewGuard())
	r := e.Crashed(quarantine.InterruptedCall{Call: quarantine.Call{Service: "llm", Parts: []string{id}}}, time.Now())
	for _, c := range r.Crashes[0].Calls {
		if c.Kind == wire.SuspectPart {
			return wire.Suspects{Revision: 1, List: []wire.Suspect{{Kind: c.Kind, Fingerprint: c.Fingerprint, Barred: barred, Since: time.Now().UnixMilli()}}}
		}
	}
	f.t.Fatal("no part is accused")
	return wire.Suspects{}
}

// TestBarredPartReachesNoUpstream bars a part while the stages of a call run: the call must be refused as not run, and
// the next one before its stages. The part does not count at the end of a prompt, where it belongs to one call only.
func TestBarredPartReachesNoUpstream(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	f.upstream("llm", "i-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		fmt.Fprint(w, "id: 1\n\n")
	})
	send := func(parts string, status int) {
		t.Helper()
		f.wantStatus(status, http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Pieces": "1", "Caperdrum-Prompt-Parts": parts})
	}
	suspects := f.partSuspects("bad", true)
	f.stages.before = func() { f.service.guard.Update(suspects) }
	send("a:10,bad:10,own:10", http.StatusServiceUnavailable)
	made := len(f.stages.jobs)
	send("bad:10,own:10", http.StatusServiceUnavailable)
	if n := arrived.Load(); n != 0 || len(f.stages.jobs) != made {
		t.Fatalf("%d calls arrived, stages of %d ran", n, len(f.stages.jobs)-made)
	}
	send("a:10,own:10", http.StatusOK)
	send("a:10,bad:10", http.StatusOK)
}

// TestSuspectedPartIsNotRepeated checks that a call with a suspected part reaches one upstream, as it may crash each.
func TestSuspectedPartIsNotRepeated(t *testing.T) {
	for parts, want := range map[string]int32{"a:10,bad:10,own:10": 1, "a:10,own:10": 2} {
		f := newFixture(t)
		var arrived atomic.Int32
		for _, id := range []string{"i-1", "i-2"} {
			f.upstream("llm", id, func(http.ResponseWriter, *http.Request) {
				arrived.Add(1)
				panic(http.ErrAbortHandler)
			})
		}
		f.service.guard.Update(f.partSuspects("bad", false))
		f.wantStatus(http.StatusBadGateway, http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Prompt-Parts": parts})
		if n := arrived.Load(); n != want {
			t.Errorf("%s: sent to %d upstreams, want %d", parts, n, want)
		}
	}
}

// TestStreamThatHasBegunClearsItsParts guards against parts of long answers that stay suspects until one has ended.
func TestStreamThatHasBegunClearsItsParts(t *testing.T) {
	f := newFixture(t)
	r := f.collectReports()
	next := make(chan struct{})
	f.upstream("llm", "i-1", func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; ; i++ {
			fmt.Fprintf(w, "id: %d\n\n", i)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-next:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	f.service.guard.Update(f.partSuspects("bad", false))
	done := make(chan string)
	go func() {
		_, body, err := f.send(http.MethodPost, "/quote/1", map[string]string{"Caperdrum-Prompt-Parts": "a:10,bad:10,own:10"})
		done <- fmt.Sprint(strings.Contains(body, "id: 1\n"), err)
	}()
	_, answered := r.await(t, 1)
	close(next)
	if got := <-done; got != "true <nil>" {
		t.Error(got)
	}
	if len(answered) != 1 || answered[0].Part != "bad" {
		t.Errorf("reported as answered: %+v", answered)
	}
}
