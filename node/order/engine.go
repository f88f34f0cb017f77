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

// Paths and header of an engine's order interface.
const (
	PathState   = "/v1/engine"
	PathOrders  = "/v1/engine/orders"
	HeaderToken = "Fencing-Token"
)

const (
	stateTimeout     = 2 * time.Second
	stateIdleTimeout = 4 * time.Second // shorter than the usual keep-alive of model servers
	maxDetailBytes   = 256             // bytes of an engine's message that a report keeps
	maxStateBytes    = 1 << 20
)

// engine is the client of the upstream's order interface.
type engine struct {
	base        string
	orderClient *http.Client // of orders
	stateClient *http.Client // of the engine's state
}

// newEngine sends every order on a fresh connection, on which the transport
// never repeats a request by itself.
func newEngine(address string) *engine {
	return &engine{base: "http://" + address, orderClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		stateClient: &http.Client{Transport: &http.Transport{IdleConnTimeout: stateIdleTimeout}}}
}

// state asks the engine what it holds. An upstream without the interface takes
// no orders.
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
	defer io.Copy(io.Discard, io.LimitReader(resp.Body, maxDetailBytes)) // an unread body costs the connection
	var st wire.EngineState
	if resp.StatusCode != http.StatusOK {
		return st, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&st); err != nil {
		return wire.EngineState{}, nil // a plain service that answers any path
	}
	return st, nil
}

// pass hands an order on and waits until the engine has carried it out.
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
