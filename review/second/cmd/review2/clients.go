package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// streamEvents is the number of events of a stream.
	streamEvents = 60
	// trafficStart is how long after the machines traffic starts.
	trafficStart = 16 * time.Second
)

// begins reports whether the machine serves a stream; it does not wait for its end.
func (s *system) begins(e env, n *node, id, host string) bool {
	ctx, cancel := context.WithTimeout(e.ctx, 300*time.Millisecond)
	defer cancel()
	status, _, _, _ := call(ctx, http.MethodPost, "http://"+n.front+"/chat/x", "hello "+id, headers(host, id, 12000))
	return status == http.StatusOK
}
