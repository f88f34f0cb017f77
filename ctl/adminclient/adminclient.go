// Package adminclient calls the administration API. It tries the control
// processes in turn until the leader has answered.
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

// TLS names the PEM files for encrypted calls. Without a CA calls are plain
// text. The certificate is shown to debug listeners, which admit only those
// that the CA has signed.
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

// NewTLS is New with encrypted calls.
func NewTLS(addresses []string, key string, t TLS) (*Client, error) {
	c := New(addresses, key)
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: cfg}
	return c, nil
}

// New returns a client that authenticates with the bearer key, if there is one.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, scheme: "http", http: &http.Client{Timeout: callTimeout}}
}

// Refusal is a call that a control process understood and refused.
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

// final reports whether another control process would refuse as well.
func (r *Refusal) final() bool {
	switch r.Status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusConflict:
		return true
	}
	return false
}

// call sends one call to one address. The conflict of a
// change is an answer and is decoded into out.
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

const leaderPause = 100 * time.Millisecond

// leader repeats an idempotent call until the leader answers or ctx ends.
func (c *Client) leader(ctx context.Context, method, path string, in, out any) error {
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		last = c.call(ctx, c.addresses[i%len(c.addresses)], method, path, in, out)
		if last == nil {
			return nil
		}
		var r *Refusal
		if errors.As(last, &r) && r.final() {
			return r
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderPause):
		}
	}
	return errors.Annotate(last, "no leader answered")
}

// Init makes the first control process the voter of a new cluster. The answer
// holds the first administrators' key, which is not shown again.
func (c *Client) Init(ctx context.Context) (wire.InitReply, error) {
	var reply wire.InitReply
	err := c.call(ctx, c.addresses[0], http.MethodPost, "/v1/init", nil, &reply)
	return reply, err
}

// WithKey returns a client that uses another key.
func (c *Client) WithKey(key string) *Client {
	other := *c
	other.key = key
	return &other
}

// Apply proposes a change. The same change id makes a resend harmless.
func (c *Client) Apply(ctx context.Context, change wire.ChangeRequest) (wire.ChangeResult, error) {
	var res wire.ChangeResult
	err := c.leader(ctx, http.MethodPost, "/v1/config", change, &res)
	return res, err
}

// Validate has a text checked without proposing it.
func (c *Client) Validate(ctx context.Context, text string) error {
	var out struct{}
	return c.leader(ctx, http.MethodPost, "/v1/config/validate", wire.ChangeRequest{Text: text}, &out)
}

// Diff compares a text with the one in force.
func (c *Client) Diff(ctx context.Context, text string) (wire.ChangeResult, error) {
	var res wire.ChangeResult
	err := c.leader(ctx, http.MethodPost, "/v1/config/diff", wire.ChangeRequest{Text: text}, &res)
	return res, err
}

// Config returns the text in force.
func (c *Client) Config(ctx context.Context) (wire.ConfigText, error) {
	var out wire.ConfigText
	err := c.leader(ctx, http.MethodGet, "/v1/config", nil, &out)
	return out, err
}

// ControlStatus is one control process's report, or why there is none.
type ControlStatus struct {
	Address string
	Status  wire.ControlStatus
	Err     error
}

// Status asks every control process.
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

// Members returns the leader's report of all members, sorted by id.
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

// Timeline collects the events of the processes at the given debug addresses
// and names those that did not answer.
func (c *Client) Timeline(ctx context.Context, addresses []string, query string) (events []timeline.Event, unreached []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	debug := c.WithKey("") // the key is for the control processes only
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
	err := c.leader(ctx, http.MethodGet, "/v1/teams", nil, &out)
	return out, err
}

// Evacuate starts or ends the evacuation of a data centre.
func (c *Client) Evacuate(ctx context.Context, dataCenter string, out bool) (wire.EvacuationResult, error) {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	var result wire.EvacuationResult
	err := c.leader(ctx, method, "/v1/evacuations/"+url.PathEscape(dataCenter), nil, &result)
	return result, err
}

// Evacuations returns the data centres for which there ever was an order.
func (c *Client) Evacuations(ctx context.Context) (wire.Evacuations, error) {
	var out wire.Evacuations
	err := c.leader(ctx, http.MethodGet, "/v1/evacuations", nil, &out)
	return out, err
}

// Quarantine returns the calls under which upstreams ended, as the ledger holds them.
func (c *Client) Quarantine(ctx context.Context) ([]wire.QuarantineEntry, error) {
	var out []wire.QuarantineEntry
	err := c.leader(ctx, http.MethodGet, "/v1/quarantine", nil, &out)
	return out, err
}

// LiftBar ends the quarantine of a call.
func (c *Client) LiftBar(ctx context.Context, f wire.Fingerprint) error {
	var out struct{}
	return c.leader(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(string(f)), nil, &out)
}

// Rollouts returns the last roll-out of each service.
func (c *Client) Rollouts(ctx context.Context) (wire.Rollouts, error) {
	var out wire.Rollouts
	err := c.leader(ctx, http.MethodGet, "/v1/rollouts", nil, &out)
	return out, err
}

// StartRollout moves a service's calls to a target version within span.
func (c *Client) StartRollout(ctx context.Context, service, target string, span time.Duration) (wire.RolloutResult, error) {
	var out wire.RolloutResult
	err := c.leader(ctx, http.MethodPut, "/v1/rollouts/"+url.PathEscape(service), wire.RolloutOrder{Target: target, Span: span}, &out)
	return out, err
}

// AbortRollout rolls a running roll-out back.
func (c *Client) AbortRollout(ctx context.Context, service string) (wire.RolloutResult, error) {
	var out wire.RolloutResult
	err := c.leader(ctx, http.MethodDelete, "/v1/rollouts/"+url.PathEscape(service), nil, &out)
	return out, err
}

// PutTeam adds a team or replaces its rights.
func (c *Client) PutTeam(ctx context.Context, t wire.TeamInfo) error {
	var out struct{}
	return c.leader(ctx, http.MethodPut, "/v1/teams/"+url.PathEscape(t.Name), t, &out)
}

// DeleteTeam removes a team and its keys.
func (c *Client) DeleteTeam(ctx context.Context, name string) error {
	var out struct{}
	return c.leader(ctx, http.MethodDelete, "/v1/teams/"+url.PathEscape(name), nil, &out)
}

// AddKey makes one more key for a team. It is shown only in this answer.
func (c *Client) AddKey(ctx context.Context, team string) (wire.NewKey, error) {
	var out wire.NewKey
	err := c.leader(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(team)+"/keys", nil, &out)
	return out, err
}

// EndKey ends a key after the given time.
func (c *Client) EndKey(ctx context.Context, id string, after time.Duration) error {
	var out struct{}
	return c.leader(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id)+"?after="+after.String(), nil, &out)
}

// History lists the latest changes, newest last.
func (c *Client) History(ctx context.Context) ([]wire.ChangeInfo, error) {
	var out []wire.ChangeInfo
	err := c.leader(ctx, http.MethodGet, "/v1/config/history", nil, &out)
	return out, err
}
