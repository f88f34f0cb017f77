// Package httpstop stops HTTP servers whose callers move on to another process.
package httpstop

import (
	"context"
	"net/http"
	"time"
)

// Stop shuts the server down, and closes the connections that are left after the grace period: those on which no request
// has come yet, and those whose request is not complete, could otherwise use up the time in which the other
// services of the process have to stop.
func Stop(ctx context.Context, server *http.Server, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}
