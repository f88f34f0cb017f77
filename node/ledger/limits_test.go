package ledger

import (
	"strings"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// runAlone runs one request without faults; every upstream answers at once.
func runAlone(w *simulation, entry int, key string) *request {
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
	w := newSimulation(t)
	for _, key := range []string{"\xff", strings.Repeat("k", maxKeyBytes+1)} {
		v := verdict.From(runAlone(w, 0, key).err)
		if v.Verdict != verdict.NotRun || v.Code != verdict.CodeInvalidRequest {
			t.Fatalf("key %q: %v", key, v)
		}
	}
	w.answerPadding = strings.Repeat("x", maxAnswerBytes)
	for entry := range entries {
		v := verdict.From(runAlone(w, entry, "large").err)
		if v.Verdict != verdict.Ran || w.runs[wire.ClaimKey{Customer: "a", Key: "large"}] != 1 {
			t.Fatalf("an answer above the limit: %v", v)
		}
	}
	w.answerPadding, w.ledgerFull = "", true
	v := verdict.From(runAlone(w, 0, "new").err)
	if v.Verdict != verdict.NotRun || v.Code != verdict.CodeLedgerFull || v.RetryAfter != ledgerFullRetryAfter {
		t.Fatalf("a full ledger: %v", v)
	}
}
