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
	// poolSize is the number of workers of a service of which one leaves, is cut off or crashes: a share of 0.143.
	poolSize = 7
	// poolStreams is the number of streams that these workers share.
	poolStreams = 84
)

// begins reports whether the machine serves a stream; it does not wait for its end.
func (s *system) begins(e env, n *node, id, host string) bool {
	ctx, cancel := context.WithTimeout(e.ctx, 300*time.Millisecond)
	defer cancel()
	status, _, _, _ := call(ctx, http.MethodPost, "http://"+n.front+"/chat/x", "hello "+id, headers(host, id, 12000))
	return status == http.StatusOK
}

// ownPrompt gives a request a prompt that shares no part with others, so that requests are spread over the workers.
func ownPrompt(h map[string]string, id string) map[string]string {
	h[name("prompt")] = "a" + id + ":80," + id + ":20"
	return h
}
