package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// A response that ends cleanly but is incomplete or belongs to another attempt is rejected.
func TestMismatchedResponsesAreRejected(t *testing.T) {
	const incarnation, sum = 7, "44bc2cf5ad770999" // xxhash64 of "abc"
	right := map[string]string{wire.HeaderIncarnation: "7", wire.HeaderStage: "s", wire.HeaderUpstreamStatus: "200",
		wire.TrailerEnd: wire.EndWhole, wire.TrailerLength: "3", wire.TrailerSum: sum}
	cases := []struct {
		name, header, value string
		ok                  bool
	}{
		{"right", "", "", true},
		{"no end mark", wire.TrailerEnd, "", false},
		{"end mark of a truncated response", wire.TrailerEnd, string(verdict.CodeAnswerCut), false},
		{"other length", wire.TrailerLength, "4", false},
		{"other checksum", wire.TrailerSum, "0", false},
		{"other attempt", wire.HeaderAttempt, "other", false},
		{"other stage", wire.HeaderStage, "other", false},
		{"other incarnation", wire.HeaderIncarnation, "8", false},
		{"no status", wire.HeaderUpstreamStatus, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := newCall("/", "abc")
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/cancel") {
					io.WriteString(w, `{"state":"running","incarnation":7}`)
					return
				}
				set := func(name, value string) {
					if name == c.header {
						value = c.value
					}
					w.Header().Set(name, value)
				}
				w.Header().Set("Trailer", wire.TrailerEnd+","+wire.TrailerLength+","+wire.TrailerSum)
				for _, name := range []string{wire.HeaderIncarnation, wire.HeaderStage, wire.HeaderUpstreamStatus} {
					set(name, right[name])
				}
				set(wire.HeaderAttempt, string(call.Attempt))
				if strings.HasSuffix(r.URL.RawQuery, "offset=3") {
					w.WriteHeader(http.StatusOK)
				} else {
					io.WriteString(w, "abc")
				}
				for _, name := range []string{wire.TrailerEnd, wire.TrailerLength, wire.TrailerSum} {
					set(name, right[name])
				}
			}))
			defer server.Close()
			got, _, err := do(context.Background(), endpoint(server.Listener.Addr().String(), incarnation), call)
			if c.ok != (err == nil) || c.ok && got != "abc" {
				t.Errorf("%q, %v", got, err)
			}
			if err != nil && verdict.Of(err) == verdict.NotRun {
				t.Errorf("reported as not run: %v", err)
			}
		})
	}
}
