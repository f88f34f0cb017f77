package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"caperdrum.org/api/wire"
)

// TestStreamGoesOnAfterItsConnectionHasGoneSilent guards against a stream that waits for its deadline beside an upstream
// that could go on with it.
func TestStreamGoesOnAfterItsConnectionHasGoneSilent(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "silent", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		w.Header().Set("Content-Type", typeOfStream)
		fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	f.stages.engine = "silent"
	f.upstream("llm", "other", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", typeOfStream)
		fmt.Fprint(w, eventsAfter(r.Header.Get("Last-Event-Id")))
	})
	body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/", map[string]string{"Caperdrum-Prompt-Parts": "a:10", wire.HeaderTimeout: "1m"})
	if body != wholeStream {
		t.Fatalf("got %q", body)
	}
}
