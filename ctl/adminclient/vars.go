package adminclient

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// Vars are the metrics published by one process.
type Vars struct {
	Address string
	Values  map[string]json.RawMessage
	Err     error
}

// Vars reads the metrics of the processes at the given debug addresses.
func (c *Client) Vars(ctx context.Context, addresses []string) []Vars {
	out := make([]Vars, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			out[i].Address = a
			out[i].Values, out[i].Err = c.ProcessVars(ctx, a)
		})
	}
	wg.Wait()
	return out
}

// Number returns a numeric metric; zero if there is none of that name.
func (v Vars) Number(name string) float64 {
	var n float64
	json.Unmarshal(v.Values[name], &n)
	return n
}

// Numbers returns a metric that maps labels to numbers; nil if there is none of that name.
func (v Vars) Numbers(name string) map[string]float64 {
	var m map[string]float64
	json.Unmarshal(v.Values[name], &m)
	return m
}

// ProcessVars returns the metrics (expvar) of the process at the debug address as raw JSON by name.
func (c *Client) ProcessVars(ctx context.Context, address string) (map[string]json.RawMessage, error) {
	debug := c.WithKey("") // the key must only be sent to control processes
	var vars map[string]json.RawMessage
	err := debug.call(ctx, address, http.MethodGet, "/debug/vars", nil, &vars)
	return vars, err
}
