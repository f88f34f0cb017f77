package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// answerEvents answers with an event of the given size and a second one.
func answerEvents(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\nid: 2\ndata: y\n\n", strings.Repeat("x", size))
	}
}

// TestEventWithoutEnd checks that an event, a line or comments that never end are given up, that the caller gets no answer
// that looks complete, that the connection is closed, that the call is not suspected, and that no memory stays reserved.
func TestEventWithoutEnd(t *testing.T) {
	for name, repeated := range map[string]string{"a line": "x", "an event": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			closed := make(chan struct{})
			f.upstream("llm", "e1", func(w http.ResponseWriter, r *http.Request) {
				defer close(closed)
				w.Header().Set("Content-Type", "text/event-stream")
				io.WriteString(w, "id: 1\ndata: first\n\ndata: ")
				for r.Context().Err() == nil {
					io.WriteString(w, strings.Repeat(repeated, 1000))
				}
			})
			crashes := upstreamCrashesVar.Get("llm")
			resp, body, err := f.send(http.MethodPost, "/chat/x", nil)
			if err == nil || strings.Contains(body, "\n\ndata:") {
				t.Fatalf("%v: a stream without end looks complete: %q", resp, body)
			}
			<-closed
			if after := upstreamCrashesVar.Get("llm"); fmt.Sprint(after) != fmt.Sprint(crashes) {
				t.Fatalf("crashes %v, before %v", after, crashes)
			}
			if n := f.service.memory.inUse(); n != 0 {
				t.Fatalf("%d bytes stay reserved", n)
			}
		})
	}
}

// TestLargestEventIsPassedOn checks that an event just below the bound reaches the caller.
func TestLargestEventIsPassedOn(t *testing.T) {
	f := newFixture(t)
	f.upstream("llm", "e1", answerEvents(maxEventBytes-readChunkBytes))
	body := f.wantStatus(http.StatusOK, http.MethodPost, "/chat/x", nil)
	if len(body) < maxEventBytes-readChunkBytes || !strings.HasSuffix(body, "id: 2\ndata: y\n\n") {
		t.Fatalf("%d bytes", len(body))
	}
	if n := f.service.memory.inUse(); n != 0 {
		t.Fatalf("%d bytes stay reserved", n)
	}
}

// TestLongAnswerWithoutEventsIsPassedOn checks that the bound of events does not hold for an answer of another type.
func TestLongAnswerWithoutEventsIsPassedOn(t *testing.T) {
	f := newFixture(t)
	answer := strings.Repeat("x", 4*maxEventBytes)
	f.upstream("llm", "e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		io.WriteString(w, answer)
	})
	if body := f.wantStatus(http.StatusOK, http.MethodPost, "/chat/x", nil); body != answer {
		t.Fatalf("%d bytes", len(body))
	}
}

// TestStreamGoesOnAfterAnEventWithoutEnd checks that a stream that another upstream may continue goes on there.
func TestStreamGoesOnAfterAnEventWithoutEnd(t *testing.T) {
	f := newFixture(t)
	calls := 0
	serve := func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set("Content-Type", "text/event-stream")
		if calls == 1 {
			io.WriteString(w, "id: 1\ndata: first\n\ndata: ")
			for r.Context().Err() == nil {
				io.WriteString(w, strings.Repeat("x", 1000))
			}
			return
		}
		io.WriteString(w, "id: 2\ndata: second\n\n")
	}
	f.upstream("llm", "e1", serve)
	f.upstream("llm", "e2", serve)
	if body := f.wantStatus(http.StatusOK, http.MethodPost, "/quote/x", nil); body != "id: 1\ndata: first\n\nid: 2\ndata: second\n\n" {
		t.Fatalf("%q", body)
	}
}
