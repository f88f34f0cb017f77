package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// hostTest is a host with one plain service, and the URL of its control interface.
type hostTest struct {
	*testing.T
	host    *Host
	control string
}

func newHostTest(t *testing.T) *hostTest {
	h := NewHost()
	if err := h.Add("desk-1", "127.0.0.1:0", Options{Kind: KindPlain, Concurrency: 1}); err != nil {
		t.Fatal(err)
	}
	control := httptest.NewServer(h.Control())
	t.Cleanup(func() { control.Close(); h.Close() })
	return &hostTest{t, h, control.URL}
}

// confirm sends a request and returns its error.
func (h *hostTest) confirm(patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.host.Address("desk-1")+"/confirm", strings.NewReader("lot 7"))
	if err != nil {
		h.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (h *hostTest) order(path string, body any) {
	h.Helper()
	if status, answer := post(h.T, h.control+path, "", body); status != http.StatusNoContent {
		h.Fatalf("%s: status %d, %s", path, status, answer)
	}
}

func (h *hostTest) runs() int {
	h.Helper()
	resp, err := http.Get(h.control + "/runs")
	if err != nil {
		h.Fatal(err)
	}
	defer resp.Body.Close()
	runs := map[string]int{}
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		h.Fatal(err)
	}
	return runs["lot 7"]
}

func TestHostFailsAndRecoversOnCommand(t *testing.T) {
	const long, short = 10 * time.Second, 50 * time.Millisecond
	h := newHostTest(t)
	for _, step := range []struct {
		fault    Fault
		patience time.Duration
		fails    bool
	}{{Fault{}, long, false}, {Fault{Refuse: true}, long, true}, {Fault{}, long, false}, {Fault{Silent: true}, short, true}, {Fault{}, long, false}} {
		h.order("/fault/desk-1", step.fault)
		if err := h.confirm(step.patience); (err != nil) != step.fails {
			t.Fatalf("%+v: %v", step.fault, err)
		}
	}
	if n := h.runs(); n != 3 {
		t.Fatalf("ran %d times, want 3: no run while connections were refused or the service was silent", n)
	}
	h.order("/fault/desk-1", Fault{Refuse: true})
	h.order("/reset", nil)
	if err := h.confirm(long); err != nil || h.runs() != 1 {
		t.Fatalf("after a reset: %v, %d runs", err, h.runs())
	}
}
