package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// Paths and header of the HTTP interface through which engines take orders.
const (
	PathState   = "/v1/engine"
	PathOrders  = "/v1/engine/orders"
	HeaderToken = "Fencing-Token"
)

const (
	stateTimeout     = 2 * time.Second
	stateIdleTimeout = 4 * time.Second // shorter than the usual keep-alive timeout of model servers
	maxDetailBytes   = 256             // bytes of an engine's error message that are kept in a report
	maxStateBytes    = 1 << 20
)

// engine is the client of an upstream's order interface.
type engine struct {
	base        string
	orderClient *http.Client // for orders
	stateClient *http.Client // for the engine's state
}

// newEngine returns a client that sends every order on a new connection, as the transport may retry a request
// on a reused one.
func newEngine(address string) *engine {
	return &engine{base: "http://" + address, orderClient: &http.Client{Transport: wire.CheckResponses(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: wire.MaxResponseHeadBytes})},
		stateClient: &http.Client{Transport: wire.CheckResponses(&http.Transport{IdleConnTimeout: stateIdleTimeout, MaxResponseHeaderBytes: wire.MaxResponseHeadBytes})}}
}

// state reads which artifacts the engine holds. An upstream without the interface is reported as taking no
// orders, without an error.
func (e *engine) state(ctx context.Context) (wire.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+PathState, nil)
	if err != nil {
		return wire.EngineState{}, errors.Trace(err)
	}
	resp, err := e.stateClient.Do(req)
	if err != nil {
		return wire.EngineState{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	defer io.Copy(io.Discard, io.LimitReader(resp.Body, maxDetailBytes)) // a connection with an unread body is not reused
	var st wire.EngineState
	if resp.StatusCode != http.StatusOK {
		return st, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&st); err != nil {
		return wire.EngineState{}, nil // not an engine, but a service that answers any path
	}
	return st, nil
}

// execute sends an order and waits until the engine has completed it, at most for the order's timeout.
func (e *engine) execute(ctx context.Context, o *wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+PathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderToken, strconv.FormatUint(o.Token, 10))
	resp, err := e.orderClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(detail))
	}
	return nil
}
