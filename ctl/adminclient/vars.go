package adminclient

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// Vars are the metrics that one process publishes.
type Vars struct {
	Address string
	Values  map[string]json.RawMessage
	Err     error
}

// Vars asks the processes at the given debug addresses for their metrics.
func (c *Client) Vars(ctx context.Context, addresses []string) []Vars {
	out := make([]Vars, len(addresses))
	debug := c.WithKey("") // the key is for the control processes only
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			out[i].Address = a
			out[i].Err = debug.call(ctx, a, http.MethodGet, "/debug/vars", nil, &out[i].Values)
		})
	}
	wg.Wait()
	return out
}

// Number returns a metric that is one number, or zero.
func (v Vars) Number(name string) float64 {
	var n float64
	json.Unmarshal(v.Values[name], &n)
	return n
}

// Numbers returns a metric that is a map of numbers.
func (v Vars) Numbers(name string) map[string]float64 {
	var m map[string]float64
	json.Unmarshal(v.Values[name], &m)
	return m
}
