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

// encodedAnswer is an answer that is already encoded, since many callers get the same.
type encodedAnswer []byte

func (r encodedAnswer) MarshalJSON() ([]byte, error) { return r, nil }

// TestAnswersAreEncodedOnce measures the bytes allocated for an answer. A control process sends the same
// answer hundreds of times when all processes start.
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
		const most = 4 // times the answer's size: a growing buffer, and a copy of its contents
		if got := float64(allocated()-before) / float64(rounds*size); got > most {
			t.Errorf("%d bytes: allocated %.1f times that size, want at most %d", size, got, most)
		}
	}
}

// TestResponseObjects decodes responses with package jsonrpc2.
func TestResponseObjects(t *testing.T) {
	id := jsonrpc2.ID{Num: 7}
	for name, c := range map[string]struct {
		result any
		err    error
		want   string // expected result, or error message
	}{
		"a result":                        {&ControlAddresses{Control: []string{"a"}}, nil, `{"control":["a"]}`},
		"an empty result":                 {&Empty{}, nil, `{}`},
		"no result":                       {(*ControlAddresses)(nil), nil, `null`},
		"a protocol error":                {nil, &jsonrpc2.Error{Code: 5, Message: "no"}, "no"},
		"any other error":                 {nil, fmt.Errorf("failed: %w", errors.New("disk")), "failed: disk"},
		"a result that cannot be encoded": {func() {}, nil, "json: unsupported type: func()"},
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
