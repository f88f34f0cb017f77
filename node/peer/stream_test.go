package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// ready is an answer that many callers get and that is encoded already.
type encodedAnswer []byte

func (r encodedAnswer) MarshalJSON() ([]byte, error) { return r, nil }

// TestAnswersAreEncodedOnce counts the bytes that are allocated for an answer. A control process sends hundreds of
// the same when all processes start.
func TestAnswersAreEncodedOnce(t *testing.T) {
	for _, size := range []int{50_000, 500_000} {
		answer := encodedAnswer(`"` + strings.Repeat("x", size) + `"`)
		const rounds = 20
		allocated := func() uint64 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.TotalAlloc
		}
		before := allocated()
		for range rounds {
			if _, err := encodeResponse(jsonrpc2.ID{Num: 1}, answer, nil); err != nil {
				t.Fatal(err)
			}
		}
		const most = 4 // times the answer's size: a buffer that grows, and a copy of what it holds
		if got := float64(allocated()-before) / float64(rounds*size); got > most {
			t.Errorf("%d bytes: %.1f times their size is allocated, at most %d should", size, got, most)
		}
	}
}

// TestResponseObjects checks what a caller is sent against package jsonrpc2's reading of it.
func TestResponseObjects(t *testing.T) {
	id := jsonrpc2.ID{Num: 7}
	for name, c := range map[string]struct {
		result any
		err    error
		want   string // of the result, or of the error's message
	}{
		"a result":                    {&Where{Control: []string{"a"}}, nil, `{"control":["a"]}`},
		"an empty result":             {&Empty{}, nil, `{}`},
		"no result":                   {(*Where)(nil), nil, `null`},
		"an error of the protocol":    {nil, &jsonrpc2.Error{Code: 5, Message: "no"}, "no"},
		"any other error":             {nil, fmt.Errorf("failed: %w", errors.New("disk")), "failed: disk"},
		"a result that has no coding": {func() {}, nil, "json: unsupported type: func()"},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := encodeResponse(id, c.result, c.err)
			if err != nil {
				t.Fatal(err)
			}
			var got jsonrpc2.Response
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			switch {
			case got.ID != id:
				t.Errorf("id %v", got.ID)
			case got.Error != nil && got.Error.Message != c.want:
				t.Errorf("error %q", got.Error.Message)
			case got.Error == nil && (got.Result == nil || string(*got.Result) != c.want):
				t.Errorf("answer %s", data)
			}
		})
	}
}
