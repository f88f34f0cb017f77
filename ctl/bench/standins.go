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

// standinControl calls the control API of the stand-ins.
type standinControl struct {
	address string
	http    *http.Client
}

const controlTimeout = 10 * time.Second

func newStandinControl(address string) *standinControl {
	return &standinControl{address, &http.Client{Timeout: controlTimeout}}
}

func (u *standinControl) call(ctx context.Context, method, path string, in, out any) error {
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

func (u *standinControl) reset(ctx context.Context) error {
	return u.call(ctx, http.MethodPost, "/reset", nil, nil)
}

func (u *standinControl) fault(ctx context.Context, name string, f standin.Fault) error {
	return u.call(ctx, http.MethodPost, "/fault/"+name, f, nil)
}

func (u *standinControl) loadLag(ctx context.Context, lag time.Duration) error {
	return u.call(ctx, http.MethodPost, "/load-lag/"+lag.String(), nil, nil)
}

// groundTruth is what the stand-ins actually ran.
type groundTruth struct {
	accounts []standin.Account
	bodies   map[string]int // number of runs by request body, at plain services
}

func (u *standinControl) truth(ctx context.Context) (*groundTruth, error) {
	t := &groundTruth{bodies: map[string]int{}}
	if err := u.call(ctx, http.MethodGet, "/account", nil, &t.accounts); err != nil {
		return nil, err
	}
	return t, u.call(ctx, http.MethodGet, "/runs", nil, &t.bodies)
}

// serviceOf returns the service of a stand-in, which is named SERVICE-NUMBER.
func serviceOf(name string) string { return name[:strings.LastIndexByte(name, '-')] }

// servicesByRequest returns the services that began work for each request ID.
func (t *groundTruth) servicesByRequest() map[string]map[string]bool {
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

// generatedRequests returns the requests that an engine began to work on.
func (t *groundTruth) generatedRequests(schedule []*Request) []*Request {
	ran := t.servicesByRequest()
	var out []*Request
	for _, r := range schedule {
		if ran[r.ID][engineService] {
			out = append(out, r)
		}
	}
	return out
}

// Cost is the slot time spent by the upstreams of one service, in seconds.
type Cost struct {
	Held      float64 `json:"held_seconds"`      // total
	Extra     float64 `json:"extra_seconds"`     // of it, beyond the longest complete run of a request: hedges and retries
	Abandoned float64 `json:"abandoned_seconds"` // of it, for requests without any complete run at the service
}

// costs sums up the work by service.
func (t *groundTruth) costs() map[string]Cost {
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

// cacheHitRatio returns the fraction of the engines' prompt tokens that were cached.
func (t *groundTruth) cacheHitRatio() float64 {
	cached, all := 0, 0
	for _, a := range t.accounts {
		cached += a.CachedTokens
		all += a.PromptTokens
	}
	return float64(cached) / float64(max(all, 1))
}
