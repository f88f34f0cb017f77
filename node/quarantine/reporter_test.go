package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// TestReportsArrive starts without a leader. All calls must arrive, those of one upstream together, in
// reports of bounded size.
func TestReportsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		failures, sent := 5, []*wire.CrashReport{}
		r := NewReporter(func(_ context.Context, report *wire.CrashReport) error {
			mu.Lock()
			defer mu.Unlock()
			if failures--; failures >= 0 {
				return errors.New("no leader")
			}
			sent = append(sent, report)
			return nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx)
		r.Add(&wire.CrashReport{Crashes: []wire.Crash{crashOf(1, "f", "g")}})
		r.Add(&wire.CrashReport{Crashes: []wire.Crash{crashOf(1, "f"), crashOf(1, "h")}})
		time.Sleep(400 * time.Millisecond)
		r.Add(&wire.CrashReport{Answered: answeredCalls("g")})
		time.Sleep(time.Minute)
		mu.Lock()
		if len(sent) != 1 || len(sent[0].Crashes) != 1 || len(sent[0].Crashes[0].Calls) != 3 || len(sent[0].Answered) != 1 {
			t.Fatalf("%d reports: %+v", len(sent), sent)
		}
		failures = 1
		mu.Unlock()
		for i := range 3 * maxPendingCalls {
			r.Add(&wire.CrashReport{Crashes: []wire.Crash{crashOf(i, wire.Fingerprint(fmt.Sprint(i)))}})
		}
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(sent) != 2 || len(sent[1].Crashes) != maxPendingCalls {
			t.Fatalf("%d reports, the last with %d crashes", len(sent), len(sent[len(sent)-1].Crashes))
		}
		cancel()
		synctest.Wait()
	})
}
