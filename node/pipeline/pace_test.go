package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/routing"
)

// pacedBody gives one event a gap.
type pacedBody struct {
	cutBody
	gap time.Duration
}

func (b *pacedBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(b.gap):
	case <-b.ctx.Done():
		return 0, errCut()
	}
	event, rest, _ := strings.Cut(string(b.data), "\n\n")
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, event+"\n\n")
	b.data = []byte(rest)
	return n, nil
}

// TestSlowStreamMoves: a stream whose engine turns ten times slower goes on at
// another one, once, within the retry budget, and the text is whole; where all
// engines are as slow it stays.
func TestSlowStreamMoves(t *testing.T) {
	const usual = 28 * time.Millisecond
	tokens := strings.Split(strings.Repeat("a,b,c,d,", 6)+"e", ",")
	for _, row := range []struct {
		name     string
		gaps     [2]time.Duration // of the first engine and of the next
		members  int
		percent  int
		attempts int
	}{
		{"one slow", [2]time.Duration{10 * usual, usual}, 2, 100, 2},
		{"both slow", [2]time.Duration{10 * usual, 10 * usual}, 2, 100, 2},
		{"a little slow", [2]time.Duration{2 * usual, usual}, 2, 100, 1},
		{"no other engine", [2]time.Duration{10 * usual, usual}, 1, 100, 1},
		{"no budget", [2]time.Duration{10 * usual, usual}, 2, 0, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeGate{answer: func(ctx context.Context, n int, _ *routing.Endpoint, c dispatch.Call) (*dispatch.Answer, error) {
				var req resumedRequest
				json.Unmarshal(c.Body, &req)
				stream, _ := engineStyle{id: fmt.Sprint(n), lineEnd: "\n"}.write(tokens, max(req.generated(tokens, ""), 0), false, "stop")
				body := &pacedBody{cutBody{ctx: ctx, data: stream}, row.gaps[min(n, 1)]}
				return &dispatch.Answer{Status: 200, ContentType: wire.ContentEventStream, Body: body}, nil
			}}
			sv := serviceOf("llm", optext.Engine, true)
			sv.RetryPercent, sv.HedgePercent = row.percent, 0
			s := newFake(g, row.members, sv)
			s.gaps.of("llm").add(usual)
			w := &work{Call: callOf(sv, time.Minute), service: sv, stream: true}
			w.Body = []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"q"}]}`)
			a, err := s.exchange(t.Context(), w)
			if err != nil {
				t.Fatalf("%s: %v", row.name, err)
			}
			r := newResumer(t.Context(), s, w, a.stream)
			out, err := io.ReadAll(r)
			r.Close()
			if err != nil || g.attempts() != row.attempts {
				t.Errorf("%s: %d attempts, want %d; error %v", row.name, g.attempts(), row.attempts, err)
			}
			var text strings.Builder
			for _, event := range strings.Split(string(out), "\n\n") {
				var c struct {
					Choices []struct{ Delta struct{ Content string } }
				}
				if json.Unmarshal([]byte(strings.TrimPrefix(event, "data:")), &c) == nil && len(c.Choices) > 0 {
					text.WriteString(c.Choices[0].Delta.Content)
				}
			}
			if text.String() != strings.Join(tokens, "") || strings.Count(string(out), "[DONE]") != 1 {
				t.Errorf("%s: text %q of stream %q", row.name, text.String(), out)
			}
		})
	}
}
