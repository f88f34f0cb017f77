package gate

import (
	"net/http"
	"time"

	"caperdrum.org/api/wire"
)

const (
	idleConns = 64
	// upstreamIdle is shorter than the usual keep-alive timeout of model servers, so that a request seldom
	// uses a connection that the server is closing.
	upstreamIdle = 4 * time.Second
	// noRetryIdle is the same for non-repeatable attempts, which fail in that case.
	noRetryIdle = time.Second
)

// upstreamClients are the HTTP clients that send attempts to the upstream.
type upstreamClients struct {
	repeatable *http.Client // the transport may resend a request
	noRetry    *http.Client // it must not: requests with a body and without GetBody
	noReuse    *http.Client // it must not: every request opens its own connection
}

func newUpstreamClients() upstreamClients {
	return upstreamClients{
		repeatable: upstreamClient(&http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: upstreamIdle, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxResponseHeadBytes}),
		noRetry:    upstreamClient(&http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: noRetryIdle, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxResponseHeadBytes}),
		noReuse:    upstreamClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxResponseHeadBytes}),
	}
}

// upstreamClient does not follow redirects but returns them to the caller: following one would run the
// attempt again at another server.
func upstreamClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: wire.CheckResponses(t), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// clientFor returns the client for a request, and prepares the request for it. A non-repeatable request uses
// a kept connection only if it has a body: net/http resends a request when a kept connection fails, but never
// one whose body it cannot get again.
func (u *upstreamClients) clientFor(req *http.Request, repeatable bool) *http.Client {
	switch {
	case repeatable:
		return u.repeatable
	case req.ContentLength > 0:
		req.GetBody = nil
		return u.noRetry
	default:
		return u.noReuse
	}
}
