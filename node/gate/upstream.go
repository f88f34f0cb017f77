package gate

import (
	"net/http"
	"time"
)

const (
	idleConns = 64
	// upstreamIdle is shorter than the usual keep-alive of model servers, so
	// that a request seldom meets a connection about to be closed.
	upstreamIdle = 4 * time.Second
	// singleIdle is the same for attempts that may not be repeated, where such
	// a meeting costs the caller an error.
	noRetryIdle = time.Second
)

// upstreamClients send attempts to the upstream.
type upstreamClients struct {
	repeatable *http.Client // the transport may send a request again
	noRetry    *http.Client // it may not: for requests with a body, without GetBody
	noReuse    *http.Client // nor here: each request has a connection of its own
}

func newUpstreamClients() upstreamClients {
	return upstreamClients{
		repeatable: upstreamClient(&http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: upstreamIdle, DisableCompression: true}),
		noRetry:    upstreamClient(&http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: noRetryIdle, DisableCompression: true}),
		noReuse:    upstreamClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
}

// upstreamClient hands redirects to the caller: to follow one would run the
// attempt again, elsewhere.
func upstreamClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// of returns the client for a request, and prepares the request for it. A
// request that may not be repeated is sent on a kept connection only if it has
// a body: net/http repeats one on its own when the kept connection fails, but
// never one whose body it cannot get again.
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
