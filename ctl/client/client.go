// Package client sends callers' requests to entries and evaluates the responses.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// Client sends requests to entries. It is safe for concurrent use.
type Client struct{ http *http.Client }

const idleConnections = 1024

// New returns a client without a timeout; use the context of Send.
func New() *Client {
	return &Client{http: &http.Client{Transport: wire.CheckResponses(&http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true})}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is a request of a caller.
type Request struct {
	Entry     string // address of the entry
	Path      string
	Customer  string
	RequestID string
	Key       string // idempotency key, optional
	Timeout   time.Duration
	Body      []byte
}

// Response is the response to a request.
type Response struct {
	Status     int
	Verdict    verdict.Verdict
	Complete   bool // status 200 and received to its end
	Replayed   bool
	RetryAfter string
	RequestID  string
	Body       []byte
	FirstByte  time.Duration
	Duration   time.Duration
}

// Send sends r and reads the response to its end. A truncated response is no error, but is not Complete. An
// error means that there was no response.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Entry+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderCustomer, r.Customer)
	setIf(h, wire.HeaderRequestID, r.RequestID)
	setIf(h, wire.HeaderIdempotencyKey, r.Key)
	if r.Timeout > 0 {
		h.Set(wire.HeaderTimeout, r.Timeout.String())
	}
	started := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	a := &Response{Status: resp.StatusCode, Verdict: verdict.Parse(resp.Header.Get(wire.HeaderVerdict)),
		Replayed: resp.Header.Get(wire.HeaderReplayed) == "true", RetryAfter: resp.Header.Get(wire.HeaderRetryAfter),
		RequestID: resp.Header.Get(wire.HeaderRequestID), FirstByte: time.Since(started)}
	a.Body, err = io.ReadAll(resp.Body)
	a.Duration = time.Since(started)
	a.Complete = err == nil && resp.StatusCode == http.StatusOK
	if strings.HasPrefix(resp.Header.Get("Content-Type"), wire.ContentEventStream) {
		a.Complete = a.Complete && bytes.HasSuffix(bytes.TrimSpace(a.Body), []byte(wire.ChatStreamEnd))
	}
	return a, nil
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// ChatText returns the generated text of a chat response, streamed or not.
func ChatText(body []byte) (string, error) {
	type part struct {
		Content string `json:"content"`
	}
	type chunk struct {
		Choices []struct {
			Delta   part `json:"delta"`
			Message part `json:"message"`
		} `json:"choices"`
	}
	var text strings.Builder
	add := func(data []byte) error {
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return errors.Trace(err)
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Delta.Content + ch.Message.Content)
		}
		return nil
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		err := add(body)
		return text.String(), err
	}
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, len(body)+1)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok || bytes.Equal(data, []byte("[DONE]")) {
			continue
		}
		if err := add(data); err != nil {
			return "", err
		}
	}
	return text.String(), nil
}
