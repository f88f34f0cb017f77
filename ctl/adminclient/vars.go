package adminclient

import (
	"context"
	"encoding/json"
	"net/http"
)

// Vars returns the metrics (expvar) of the process at the debug address, by
// name and still encoded.
func (c *Client) Vars(ctx context.Context, address string) (map[string]json.RawMessage, error) {
	debug := c.WithKey("") // the key is for the control processes only
	var vars map[string]json.RawMessage
	err := debug.call(ctx, address, http.MethodGet, "/debug/vars", nil, &vars)
	return vars, err
}
