package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/internal/rapidtest"
	"caperdrum.org/node/routing"
)

// engineStyle is how an engine formats its stream.
type engineStyle struct {
	id        string
	roleFirst bool // sends a first chunk with the role and no content
	lineEnd   string
	space     string // after "data:"
	comments  bool
	split     bool // splits the data of an event over two lines
}

func drawStyle(t *rapid.T, n int) engineStyle {
	return engineStyle{
		id:        fmt.Sprintf("chatcmpl-%d", n),
		roleFirst: rapid.Bool().Draw(t, "role first"),
		lineEnd:   rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end"),
		space:     rapid.SampledFrom([]string{"", " "}).Draw(t, "space"),
		comments:  rapid.Bool().Draw(t, "comments"),
		split:     rapid.Bool().Draw(t, "split"),
	}
}

func (s engineStyle) event(b *bytes.Buffer, data string) {
	if s.comments {
		b.WriteString(": keep-alive" + s.lineEnd + s.lineEnd)
	}
	if s.split {
		data = strings.Replace(data, `"choices":`, "\n\"choices\":", 1)
	}
	for line := range strings.Lines(data) {
		b.WriteString("data:" + s.space + strings.TrimSuffix(line, "\n") + s.lineEnd)
	}
	b.WriteString(s.lineEnd)
}

func (s engineStyle) chunk(b *bytes.Buffer, delta, finish string) {
	s.event(b, fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`,
		s.id, delta, finish))
}

// write returns the complete stream of the tokens from index first on, and the length up to the end of its
// first content event.
func (s engineStyle) write(tokens []string, first int, usage bool, finish string) (stream []byte, progress int) {
	var b bytes.Buffer
	if s.roleFirst {
		s.chunk(&b, `{"role":"assistant","content":""}`, "null")
	}
	for i := first; i < len(tokens); i++ {
		content, _ := json.Marshal(tokens[i])
		role := ""
		if i == first && !s.roleFirst {
			role = `"role":"assistant",`
		}
		s.chunk(&b, "{"+role+`"content":`+string(content)+"}", "null")
		if i == first {
			progress = b.Len()
		}
	}
	s.chunk(&b, "{}", `"`+finish+`"`)
	if usage {
		s.event(&b, fmt.Sprintf(`{"id":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, s.id, 7+first, len(tokens)-first))
	}
	s.event(&b, "[DONE]")
	return b.Bytes(), progress
}

// cut is how one engine's stream breaks off.
type cut struct {
	style engineStyle
	at    float64 // as a share of the stream
	by    string
}

// drawCuts draws how the streams of a run break off; the last one is complete.
func drawCuts(t *rapid.T) []cut {
	cuts := make([]cut, rapid.IntRange(1, 9).Draw(t, "streams"))
	for i := range cuts {
		cuts[i] = cut{drawStyle(t, i), rapid.Float64Range(0, 1).Draw(t, "cut at"),
			rapid.SampledFrom([]string{"kill", "silence", "early end", "error event"}).Draw(t, "cut by")}
	}
	return cuts
}

func (c cut) apply(body *cutBody, at int) {
	body.data = body.data[:at]
	switch c.by {
	case "kill":
		body.end = errTruncated()
	case "silence":
		body.end = nil
	case "error event":
		body.data = append(bytes.Clone(body.data), "\n\ndata: {\"error\": {\"message\": \"x\"}}\n\n"...)
	}
}

// resumedRequest holds the fields of a request that an engine reads.
type resumedRequest struct {
	Messages []struct{ Role, Content string }
	Continue bool `json:"continue_final_message"`
	Max      int  `json:"max_tokens"`
	Extra    int  `json:"vendor_field"`
}

// generated returns how many tokens the request already contains, or -1 if its text is not a whole number of
// tokens.
func (r resumedRequest) generated(tokens []string, own string) int {
	if !r.Continue {
		return 0
	}
	text := strings.TrimPrefix(r.Messages[len(r.Messages)-1].Content, own)
	for i := range len(tokens) + 1 {
		if strings.Join(tokens[:i], "") == text {
			return i
		}
	}
	return -1
}

// callerView is what a caller parses from a stream.
type callerView struct {
	text       string
	done       int
	ids        map[string]bool
	roles      int
	finish     []string
	completion int
	afterDone  bool
}

func readAsCaller(t *rapid.T, stream []byte) callerView {
	v := callerView{ids: map[string]bool{}}
	for _, event := range strings.Split(string(stream), "\n\n") {
		var data []string
		for _, line := range strings.Split(event, "\n") {
			if rest, ok := strings.CutPrefix(line, "data:"); ok {
				data = append(data, strings.TrimPrefix(rest, " "))
			}
		}
		if len(data) == 0 {
			continue
		}
		v.take(t, strings.Join(data, "\n"))
	}
	return v
}

func (v *callerView) take(t *rapid.T, data string) {
	if v.done > 0 {
		v.afterDone = true
	}
	if data == "[DONE]" {
		v.done++
		return
	}
	var c struct {
		ID      string
		Choices []struct {
			Delta  struct{ Role, Content string }
			Finish *string `json:"finish_reason"`
		}
		Usage *struct {
			Completion int `json:"completion_tokens"`
			Prompt     int `json:"prompt_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("the caller cannot parse %q: %v", data, err)
	}
	v.ids[c.ID] = true
	for _, choice := range c.Choices {
		v.text += choice.Delta.Content
		if choice.Delta.Role != "" {
			v.roles++
		}
		if choice.Finish != nil {
			v.finish = append(v.finish, *choice.Finish)
		}
	}
	if c.Usage != nil {
		v.completion = c.Usage.Completion
		if c.Usage.Prompt != 7 {
			t.Fatalf("%d prompt tokens, want 7", c.Usage.Prompt)
		}
	}
}

// TestResumedStreamIsComplete cuts an engine's stream at any byte, any number of times, by a broken connection, a
// stall, an early end or an error event, with every engine formatting differently. The caller must read the
// text of an uncut stream, under one id, with one role, one finish reason and one final event.
func TestResumedStreamIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidtest.NoDeadline{TB: t}, checkStream)
	})
}

func checkStream(t *rapid.T) {
	tokens := rapid.SliceOfN(rapid.StringMatching(`[a-z "\\\n{}:é☕]{1,6}`), 1, 10).Draw(t, "tokens")
	usage := rapid.Bool().Draw(t, "usage")
	own := rapid.SampledFrom([]string{"", "begun by the caller "}).Draw(t, "own")
	max := rapid.SampledFrom([]int{0, len(tokens)}).Draw(t, "max_tokens")
	finish := "stop"
	if max > 0 {
		finish = "length"
	}
	cuts := drawCuts(t)
	barren := 0
	var fault error // of a request that an engine received
	var mu sync.Mutex
	g := &fakeGate{}
	g.respond = func(ctx context.Context, n int, _ *routing.Endpoint, c dispatch.Call) (*dispatch.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		var req resumedRequest
		err := json.Unmarshal(c.Body, &req)
		first := req.generated(tokens, own)
		if err != nil || first < 0 || req.Extra != 42 || max > 0 && req.Max != max-first {
			fault = fmt.Errorf("attempt %d: request %s: %v", n, c.Body, err)
			first = 0
		}
		cut := cuts[n%len(cuts)]
		stream, progress := cut.style.write(tokens, first, usage, finish)
		body := &cutBody{ctx: ctx, data: stream, end: io.EOF}
		if n < len(cuts)-1 && (barren < 3 || progress > 0) {
			low := 0
			if barren == 3 {
				low = progress // after four resumptions without text the next one is refused
			}
			at := low + int(cut.at*float64(len(stream)-low))
			if at < progress || progress == 0 {
				barren++
			}
			cut.apply(body, at)
		}
		return &dispatch.Response{Status: 200, ContentType: wire.ContentEventStream, Body: body}, nil
	}
	sv := serviceOf("llm", optext.Engine, true)
	s := newFake(g, 3, sv)
	messages := `[{"role":"user","content":"q"}]`
	extra := ""
	if own != "" {
		messages = `[{"role":"user","content":"q"},{"role":"assistant","content":"` + own + `"}]`
		extra = `,"continue_final_message":true`
	}
	if max > 0 {
		extra += fmt.Sprintf(`,"max_tokens":%d`, max)
	}
	raw := []byte(`{"model":"m","stream":true,"vendor_field":42,"messages":` + messages + extra + `}`)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := s.Run(ctx, &Request{ID: "r", Customer: &optext.Customer{Name: "c"}, Config: configOf(sv), Deadline: time.Now().Add(time.Minute),
		Pipeline: &optext.Pipeline{Name: "chat", Stages: []*optext.Stage{{Name: "generate", Service: "llm"}}},
		Input:    Input{Model: "m", Stream: true, Messages: json.RawMessage(messages), Raw: raw}})
	if err != nil {
		t.Fatalf("run: %v", err)
	}
	defer res.Body.Close()
	stream, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("read: %v after %q", err, stream)
	}
	if fault != nil {
		t.Fatal(fault)
	}
	v := readAsCaller(t, stream)
	if want := strings.Join(tokens, ""); v.text != want {
		t.Fatalf("text %q, want %q", v.text, want)
	}
	if v.done != 1 || v.afterDone || len(v.finish) != 1 || v.finish[0] != finish || v.roles != 1 || len(v.ids) != 1 {
		t.Fatalf("stream %q", stream)
	}
	if v.completion != 0 && v.completion != len(tokens) {
		t.Fatalf("%d completion tokens, want %d", v.completion, len(tokens))
	}
}

// TestUnresumableStream checks that a stream that cannot be resumed ends with an error event and an error,
// and never with the final event.
func TestUnresumableStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := `data: {"choices":[{"index":0,"delta":{"content":"a"}}]}` + "\n\n"
		for name, row := range map[string]struct {
			stream string
			budget int
		}{
			"no budget":       {begun, 0},
			"two choices":     {begun + `data: {"choices":[{"index":1,"delta":{"content":"b"}}]}` + "\n\n", 100},
			"tool calls":      {`data: {"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}` + "\n\n", 100},
			"no other engine": {begun, 100},
		} {
			g := &fakeGate{respond: func(ctx context.Context, n int, _ *routing.Endpoint, _ dispatch.Call) (*dispatch.Response, error) {
				if n > 0 {
					return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
				}
				return &dispatch.Response{Status: 200, ContentType: wire.ContentEventStream, Body: &cutBody{ctx: ctx, data: []byte(row.stream), end: errTruncated()}}, nil
			}}
			sv := serviceOf("llm", optext.Engine, true)
			sv.RetryPercent = row.budget
			s := newFake(g, 2, sv)
			w := &callSpec{Call: callOf(sv, time.Minute), service: sv, stream: true}
			a, err := s.exchange(t.Context(), w)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			r := newResumer(t.Context(), s, w, a.stream)
			out, err := io.ReadAll(r)
			r.Close()
			if verdict.Of(err) != verdict.Ran || err == nil {
				t.Errorf("%s: error %v", name, err)
			}
			if text := string(out); strings.Contains(text, "[DONE]") || !strings.Contains(text, `data: {"error"`) || !strings.HasPrefix(text, row.stream) {
				t.Errorf("%s: stream %q", name, text)
			}
		}
	})
}
