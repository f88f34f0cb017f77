package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func post(t *testing.T, url, id string, body any) (int, string) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "cut: " + string(answer)
	}
	return resp.StatusCode, string(answer)
}

func chatOf(content string) ChatRequest {
	return ChatRequest{Messages: []ChatMessage{{Role: "user", Content: content}}, Stream: true, MaxTokens: 4}
}

func TestEngineOverHTTP(t *testing.T) {
	s := New(Options{Kind: KindEngine})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	chat := server.URL + "/v1/chat/completions"
	question := chatOf(text("a", 64))
	for _, step := range []struct {
		name, want string
		req        ChatRequest
	}{
		{"first", `"cached_tokens":0`, question},
		{"same prompt again", `"cached_tokens":64`, question},
		{"resumed after two tokens", Token(question.Prompt(), 2), resumed(question, 2)},
	} {
		status, answer := post(t, chat, step.name, step.req)
		if status != http.StatusOK || !strings.Contains(answer, step.want) || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
			t.Errorf("%s: status %d, want %s in %s", step.name, status, step.want, answer)
		}
		if step.req.Continue && strings.Contains(answer, Token(question.Prompt(), 1)) {
			t.Errorf("%s: a token was repeated: %s", step.name, answer)
		}
	}
	s.SetFault(Fault{Cut: 1})
	if _, answer := post(t, chat, "cut", question); !strings.HasPrefix(answer, "cut: ") {
		t.Errorf("the answer was not truncated: %s", answer)
	}
	s.SetFault(Fault{Error: 1})
	if status, _ := post(t, chat, "failed", question); status != http.StatusInternalServerError {
		t.Errorf("status %d with an injected error", status)
	}
	checkLog(t, s.Account(), map[string]int{"first": 1, "same prompt again": 1, "resumed after two tokens": 1, "cut": 0})
}

func resumed(c ChatRequest, tokens int) ChatRequest {
	c.Messages = append(c.Messages[:1:1], ChatMessage{Role: "assistant", Content: Text(c.Prompt(), tokens)})
	c.Continue = true
	return c
}

// checkLog checks that exactly the given requests ran, once each, and the number of completed runs.
func checkLog(t *testing.T, a Account, completed map[string]int) {
	t.Helper()
	if len(a.Records) != len(completed) {
		t.Errorf("%d requests ran, want %d: %+v", len(a.Records), len(completed), a.Records)
	}
	for _, r := range a.Records {
		if want, ran := completed[r.Request]; !ran || r.Runs != 1 || r.Completed != want {
			t.Errorf("%+v, want %d completed", r, want)
		}
	}
}

func TestExportedBlocksSpareTheOtherEngineTheirPrefill(t *testing.T) {
	from, to := New(Options{Kind: KindEngine}), New(Options{Kind: KindEngine})
	a, b := httptest.NewServer(from.Handler()), httptest.NewServer(to.Handler())
	defer a.Close()
	defer b.Close()
	question := chatOf(text("a", 64))
	post(t, a.URL+"/v1/chat/completions", "1", question)
	_, exported := post(t, a.URL+"/v1/kv/export", "", question)
	var kv KV
	if err := json.Unmarshal([]byte(exported), &kv); err != nil || kv.Tokens != 64 {
		t.Fatalf("exported %s (%v)", exported, err)
	}
	post(t, b.URL+"/v1/kv/import", "", kv)
	if _, answer := post(t, b.URL+"/v1/chat/completions", "2", question); !strings.Contains(answer, `"cached_tokens":64`) {
		t.Fatalf("after the import: %s", answer)
	}
}

func TestReportsComeLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newLoadHistory(2*time.Second, clock)
	l := newEventLog(Options{EventLag: 2 * time.Second, EventLoss: 0.5, Seed: 1}, clock)
	h.add(Load{Running: 1})
	for b := range Block(100) {
		l.add(b, true)
	}
	clock.Advance(time.Second)
	h.add(Load{Running: 2})
	if got := h.report().Running; got != 0 || len(l.after(0)) != 0 {
		t.Fatalf("after 1 s: %d running and %d events published", got, len(l.after(0)))
	}
	clock.Advance(time.Second)
	got, events := h.report().Running, l.after(0)
	if got != 1 || len(events) < 30 || len(events) > 70 {
		t.Fatalf("after 2 s: %d running, %d of 100 events published with a loss of one half", got, len(events))
	}
}

// TestContinuationLimitsNewTokens continues an answer with max_tokens set. As in the chat API, the limit
// applies to new tokens, not to those in the request.
func TestContinuationLimitsNewTokens(t *testing.T) {
	engine := httptest.NewServer(New(Options{Kind: KindEngine, Tokens: 9}).Handler())
	defer engine.Close()
	question := chatOf("how many?")
	rest := resumed(question, 3)
	rest.MaxTokens = 2
	_, answer := post(t, engine.URL+"/v1/chat/completions", "limited", rest)
	for i, want := range map[int]bool{2: false, 3: true, 4: true, 5: false} {
		if strings.Contains(answer, Token(question.Prompt(), i)) != want {
			t.Errorf("token %d: want %v in %s", i, want, answer)
		}
	}
}
