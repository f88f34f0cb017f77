// Package adminclient calls the administration API. It tries the control processes in turn until the leader
// responds.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/wire"
)

// Client calls the control processes at the given administration addresses.
type Client struct {
	addresses []string
	key       string
	scheme    string
	http      *http.Client
}

// TLS names the PEM files for encrypted calls. Without a CA, calls are plain text. The client certificate is
// presented to debug listeners, which require one signed by the CA.
type TLS struct {
	CA, Certificate, Key string
}

func (t TLS) config() (*tls.Config, error) {
	ca, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Errorf("%s holds no certificate", t.CA)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if t.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return nil, errors.Trace(err)
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	return cfg, nil
}

const callTimeout = 6 * time.Second

// NewTLS is like New, but calls are encrypted.
func NewTLS(addresses []string, key string, t TLS) (*Client, error) {
	c := New(addresses, key)
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	c.scheme = "https"
	c.http.Transport = wire.CheckResponses(&http.Transport{TLSClientConfig: cfg})
	return c, nil
}

// New returns a client that authenticates with the bearer key, unless it is empty.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, scheme: "http", http: &http.Client{Timeout: callTimeout, Transport: wire.CheckResponses(http.DefaultTransport)}}
}

// Refusal is the error of a call that a control process rejected.
type Refusal struct {
	Status   int
	Message  string              `json:"message"`
	Remedy   string              `json:"remedy"`
	Problems []strictini.Problem `json:"problems"`
}

// Error implements error.
func (r *Refusal) Error() string {
	if len(r.Problems) > 0 {
		return strictini.Problems(r.Problems).Error()
	}
	if r.Remedy == "" {
		return r.Message
	}
	return r.Message + "; " + r.Remedy
}

// final reports whether every other control process would reject the call as well.
func (r *Refusal) final() bool {
	switch r.Status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusConflict:
		return true
	}
	return false
}

// call sends one call to one address. A change result with status 409 is a regular result and is decoded into
// out.
func (c *Client) call(ctx context.Context, address, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Trace(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, &body)
	if err != nil {
		return errors.Trace(err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if _, change := out.(*wire.ChangeResult); resp.StatusCode == http.StatusOK || change && resp.StatusCode == http.StatusConflict {
		return errors.Trace(json.NewDecoder(resp.Body).Decode(out))
	}
	refusal := &Refusal{Status: resp.StatusCode}
	if err := json.NewDecoder(resp.Body).Decode(refusal); err != nil {
		refusal.Message = resp.Status
	}
	return refusal
}

const leaderRetryInterval = 100 * time.Millisecond

// callLeader repeats an idempotent call, trying the addresses in turn, until the leader responds or ctx ends.
func (c *Client) callLeader(ctx context.Context, method, path string, in, out any) error {
	var lastErr error
	for i := 0; ctx.Err() == nil; i++ {
		lastErr = c.call(ctx, c.addresses[i%len(c.addresses)], method, path, in, out)
		if lastErr == nil {
			return nil
		}
		var r *Refusal
		if errors.As(lastErr, &r) && r.final() {
			return r
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryInterval):
		}
	}
	return errors.Annotate(lastErr, "no leader answered")
}

// Init bootstraps a new cluster with the first control process as its voter. The reply contains the key of
// the initial administrators team, which can't be read again.
func (c *Client) Init(ctx context.Context) (wire.InitReply, error) {
	var reply wire.InitReply
	err := c.call(ctx, c.addresses[0], http.MethodPost, "/v1/init", nil, &reply)
	return reply, err
}

// WithKey returns a copy of the client that uses another key.
func (c *Client) WithKey(key string) *Client {
	other := *c
	other.key = key
	return &other
}

// Apply proposes a configuration change. Resending it with the same change ID has no further effect.
func (c *Client) Apply(ctx context.Context, change wire.ChangeRequest) (wire.ChangeResult, error) {
	var res wire.ChangeResult
	err := c.callLeader(ctx, http.MethodPost, "/v1/config", change, &res)
	return res, err
}

// Validate checks a configuration without proposing it.
func (c *Client) Validate(ctx context.Context, text string) error {
	var out struct{}
	return c.callLeader(ctx, http.MethodPost, "/v1/config/validate", wire.ChangeRequest{Text: text}, &out)
}

// Diff compares a configuration with the one in force.
func (c *Client) Diff(ctx context.Context, text string) (wire.ChangeResult, error) {
	var res wire.ChangeResult
	err := c.callLeader(ctx, http.MethodPost, "/v1/config/diff", wire.ChangeRequest{Text: text}, &res)
	return res, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (wire.ConfigText, error) {
	var out wire.ConfigText
	err := c.callLeader(ctx, http.MethodGet, "/v1/config", nil, &out)
	return out, err
}

// ControlStatus is the status of one control process, or the error of reading it.
type ControlStatus struct {
	Address string
	Status  wire.ControlStatus
	Err     error
}

// Status queries every control process.
func (c *Client) Status(ctx context.Context) []ControlStatus {
	out := make([]ControlStatus, len(c.addresses))
	var wg sync.WaitGroup
	for i, a := range c.addresses {
		wg.Go(func() {
			out[i].Address = a
			out[i].Err = c.call(ctx, a, http.MethodGet, "/v1/status", nil, &out[i].Status)
		})
	}
	wg.Wait()
	return out
}

// Members returns the leader's list of all members, sorted by ID.
func (c *Client) Members(ctx context.Context) ([]wire.MemberStatus, error) {
	for _, st := range c.Status(ctx) {
		if st.Err != nil || st.Status.State != "leader" {
			continue
		}
		var out []wire.MemberStatus
		if err := c.call(ctx, st.Address, http.MethodGet, "/v1/members", nil, &out); err != nil {
			return nil, err
		}
		sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
		return out, nil
	}
	return nil, errors.New("no leader answered")
}

// Timeline collects the events of the processes at the given debug addresses. It also returns the addresses
// that could not be reached.
func (c *Client) Timeline(ctx context.Context, addresses []string, query string) (events []timeline.Event, unreached []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	debug := c.WithKey("") // the key must only be sent to control processes
	for _, a := range addresses {
		wg.Go(func() {
			var part []timeline.Event
			err := debug.call(ctx, a, http.MethodGet, "/debug/timeline?"+query, nil, &part)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, a)
			}
			events = append(events, part...)
		})
	}
	wg.Wait()
	timeline.Sort(events)
	sort.Strings(unreached)
	return events, unreached
}

// Teams lists the teams and their keys, without secrets.
func (c *Client) Teams(ctx context.Context) ([]wire.TeamInfo, error) {
	var out []wire.TeamInfo
	err := c.callLeader(ctx, http.MethodGet, "/v1/teams", nil, &out)
	return out, err
}

// Evacuate starts or ends the evacuation of a data centre.
func (c *Client) Evacuate(ctx context.Context, dataCenter string, out bool) (wire.EvacuationResult, error) {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	var result wire.EvacuationResult
	err := c.callLeader(ctx, method, "/v1/evacuations/"+url.PathEscape(dataCenter), nil, &result)
	return result, err
}

// Evacuations returns the evacuations of all data centres that ever had one.
func (c *Client) Evacuations(ctx context.Context) (wire.Evacuations, error) {
	var out wire.Evacuations
	err := c.callLeader(ctx, http.MethodGet, "/v1/evacuations", nil, &out)
	return out, err
}

// Quarantine returns the calls that crashed upstreams, as recorded in the ledger.
func (c *Client) Quarantine(ctx context.Context) ([]wire.QuarantineEntry, error) {
	var out []wire.QuarantineEntry
	err := c.callLeader(ctx, http.MethodGet, "/v1/quarantine", nil, &out)
	return out, err
}

// LiftQuarantine releases a call from quarantine.
func (c *Client) LiftQuarantine(ctx context.Context, f wire.Fingerprint) error {
	var out struct{}
	return c.callLeader(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(string(f)), nil, &out)
}

// Rollouts returns the latest rollout of each service.
func (c *Client) Rollouts(ctx context.Context) (wire.Rollouts, error) {
	var out wire.Rollouts
	err := c.callLeader(ctx, http.MethodGet, "/v1/rollouts", nil, &out)
	return out, err
}

// StartRollout shifts the calls of a service to a target version within span.
func (c *Client) StartRollout(ctx context.Context, service, target string, span time.Duration) (wire.RolloutResult, error) {
	var out wire.RolloutResult
	err := c.callLeader(ctx, http.MethodPut, "/v1/rollouts/"+url.PathEscape(service), wire.RolloutOrder{Target: target, Span: span}, &out)
	return out, err
}

// AbortRollout rolls back the rollout in progress.
func (c *Client) AbortRollout(ctx context.Context, service string) (wire.RolloutResult, error) {
	var out wire.RolloutResult
	err := c.callLeader(ctx, http.MethodDelete, "/v1/rollouts/"+url.PathEscape(service), nil, &out)
	return out, err
}

// PutTeam creates a team or replaces its permissions.
func (c *Client) PutTeam(ctx context.Context, t wire.TeamInfo) error {
	var out struct{}
	return c.callLeader(ctx, http.MethodPut, "/v1/teams/"+url.PathEscape(t.Name), t, &out)
}

// DeleteTeam deletes a team and its keys.
func (c *Client) DeleteTeam(ctx context.Context, name string) error {
	var out struct{}
	return c.callLeader(ctx, http.MethodDelete, "/v1/teams/"+url.PathEscape(name), nil, &out)
}

// AddKey adds a key to a team. Only this reply contains the secret.
func (c *Client) AddKey(ctx context.Context, team string) (wire.NewKey, error) {
	var out wire.NewKey
	err := c.callLeader(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(team)+"/keys", nil, &out)
	return out, err
}

// RevokeKey revokes a key after the given time.
func (c *Client) RevokeKey(ctx context.Context, id string, after time.Duration) error {
	var out struct{}
	return c.callLeader(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id)+"?after="+after.String(), nil, &out)
}

// History lists the latest configuration changes, newest last.
func (c *Client) History(ctx context.Context) ([]wire.ChangeInfo, error) {
	var out []wire.ChangeInfo
	err := c.callLeader(ctx, http.MethodGet, "/v1/config/history", nil, &out)
	return out, err
}
