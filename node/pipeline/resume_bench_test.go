package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/node/dispatch"
)

const (
	benchTokens = 200
	burstEvents = 5
)

// BenchmarkResume forwards streams of 200 tokens with one event per read, as an engine sends them, and with
// five, as they arrive at a busy entry.
func BenchmarkResume(b *testing.B) {
	for _, events := range []int{1, burstEvents} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			var parts [][]byte
			var part []byte
			for i := range benchTokens {
				part = fmt.Appendf(part, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token%d \"}}]}\n\n", i)
				if (i+1)%events == 0 {
					parts, part = append(parts, part), nil
				}
			}
			parts = append(parts, doneEvent)
			s := &Service{}
			w := &callSpec{Call: dispatch.Call{Service: "llm", Deadline: time.Now().Add(time.Hour)}, service: &optext.Service{Name: "llm"}}
			for b.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				m := &trackedBody{s: s, ctx: ctx, w: w, ReadCloser: io.NopCloser(&partReader{parts: parts})}
				m.once.Do(func() {}) // no endpoint to report to
				st, err := openStream(m, cancel, false)
				if err != nil {
					b.Fatal(err)
				}
				n, err := io.Copy(io.Discard, struct{ io.Reader }{newResumer(ctx, s, w, st)})
				if err != nil || n < benchTokens {
					b.Fatal(n, err)
				}
				cancel()
			}
		})
	}
}

// partReader returns one part per read.
type partReader struct{ parts [][]byte }

func (r *partReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.parts[0])
	if n < len(r.parts[0]) {
		panic(bytes.ErrTooLarge)
	}
	r.parts = r.parts[1:]
	return n, nil
}
