package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/fake/standin"
)

// upstreams is the control of the stand-ins.
type upstreams struct {
	address string
	http    *http.Client
}

const controlTimeout = 10 * time.Second

func newUpstreams(address string) *upstreams {
	return &upstreams{address, &http.Client{Timeout: controlTimeout}}
}

func (u *upstreams) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		body = bytes.NewReader(encode(in))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.address+path, body)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := u.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("stand-ins: %s %s: %s", method, path, strings.TrimSpace(string(text)))
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(resp.Body).Decode(out))
}

func (u *upstreams) reset(ctx context.Context) error {
	return u.call(ctx, http.MethodPost, "/reset", nil, nil)
}

func (u *upstreams) fault(ctx context.Context, name string, f standin.Fault) error {
	return u.call(ctx, http.MethodPost, "/fault/"+name, f, nil)
}

func (u *upstreams) loadLag(ctx context.Context, lag time.Duration) error {
	return u.call(ctx, http.MethodPost, "/load-lag/"+lag.String(), nil, nil)
}

// truth is what the stand-ins ran.
type truth struct {
	accounts []standin.Account
	bodies   map[string]int // runs of each body by plain services
}

func (u *upstreams) truth(ctx context.Context) (*truth, error) {
	t := &truth{bodies: map[string]int{}}
	if err := u.call(ctx, http.MethodGet, "/account", nil, &t.accounts); err != nil {
		return nil, err
	}
	return t, u.call(ctx, http.MethodGet, "/runs", nil, &t.bodies)
}

// serviceOf returns the service of a stand-in, which is named SERVICE-NUMBER.
func serviceOf(name string) string { return name[:strings.LastIndexByte(name, '-')] }

// ranAt returns the services that began work for each request id.
func (t *truth) ranAt() map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, a := range t.accounts {
		for _, r := range a.Records {
			if out[r.Request] == nil {
				out[r.Request] = map[string]bool{}
			}
			out[r.Request][serviceOf(a.Name)] = true
		}
	}
	return out
}

// generated returns the requests that an engine began to work on.
func (t *truth) generated(schedule []*Request) []*Request {
	ran := t.ranAt()
	var out []*Request
	for _, r := range schedule {
		if ran[r.ID][llm] {
			out = append(out, r)
		}
	}
	return out
}

// Cost is what one service's upstreams spent.
type Cost struct {
	Held      float64 `json:"held_seconds"`      // slot time in work
	Extra     float64 `json:"extra_seconds"`     // of it beside the longest whole run of a request: hedges and retries
	Abandoned float64 `json:"abandoned_seconds"` // of it for requests without any whole run there
}

// costs sums up the work by service.
func (t *truth) costs() map[string]Cost {
	type work struct{ held, longest time.Duration }
	by := map[string]map[string]work{}
	for _, a := range t.accounts {
		s := serviceOf(a.Name)
		if by[s] == nil {
			by[s] = map[string]work{}
		}
		for _, r := range a.Records {
			w := by[s][r.Request]
			w.held += r.Held
			w.longest = max(w.longest, r.Longest)
			by[s][r.Request] = w
		}
	}
	out := map[string]Cost{}
	for s, requests := range by {
		var c Cost
		for _, w := range requests {
			c.Held += w.held.Seconds()
			if w.longest == 0 {
				c.Abandoned += w.held.Seconds()
				continue
			}
			c.Extra += (w.held - w.longest).Seconds()
		}
		out[s] = c
	}
	return out
}

// hitShare returns the share of the engines' prompt tokens that were cached.
func (t *truth) hitShare() float64 {
	cached, all := 0, 0
	for _, a := range t.accounts {
		cached += a.CachedTokens
		all += a.PromptTokens
	}
	return float64(cached) / float64(max(all, 1))
}
