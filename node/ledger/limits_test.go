package ledger

import (
	"strings"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// runAlone runs one request without faults; every upstream answers at once.
func runAlone(w *world, entry int, key string) *request {
	r := w.start(entry, wire.ClaimKey{Customer: "a", Key: key}, "body")
	for !r.ended {
		if r.pending.ready != nil && !r.pending.ready() {
			w.answerAll()
		}
		r.pending.exec()
		r.step()
	}
	return r
}

func TestLimits(t *testing.T) {
	w := newWorld(t)
	for _, key := range []string{"\xff", strings.Repeat("k", maxKey+1)} {
		v := verdict.From(runAlone(w, 0, key).err)
		if v.Verdict != verdict.NotRun || v.Code != verdict.CodeInvalidRequest {
			t.Fatalf("key %q: %v", key, v)
		}
	}
	w.padding = strings.Repeat("x", maxOutcome)
	for entry := range entries {
		v := verdict.From(runAlone(w, entry, "large").err)
		if v.Verdict != verdict.Ran || w.runs[wire.ClaimKey{Customer: "a", Key: "large"}] != 1 {
			t.Fatalf("an answer above the limit: %v", v)
		}
	}
	w.padding, w.full = "", true
	v := verdict.From(runAlone(w, 0, "new").err)
	if v.Verdict != verdict.NotRun || v.Code != verdict.CodeLedgerFull || v.RetryAfter != fullComeBack {
		t.Fatalf("a full ledger: %v", v)
	}
}
