package wire

import "net/http"

// forwardedRequestHeaders are the headers forwarded from a caller to an upstream.
// Idempotency-Key is left out because net/http would retry a request that has it.
// Authorization authenticates the caller at the upstream; it must never be logged.
var forwardedRequestHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Accept", "Accept-Language",
	"Authorization", "Traceparent", "Tracestate"}

// forwardedResponseHeaders are the headers forwarded from an upstream to a caller.
var forwardedResponseHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Cache-Control", "Etag", "Last-Modified", "Location", "Www-Authenticate"}

// ForwardRequestHeaders copies the request headers that an upstream may receive.
func ForwardRequestHeaders(dst, src http.Header) { copyHeaders(dst, src, forwardedRequestHeaders) }

// ForwardResponseHeaders copies the response headers that a caller may receive.
func ForwardResponseHeaders(dst, src http.Header) { copyHeaders(dst, src, forwardedResponseHeaders) }

func copyHeaders(dst, src http.Header, names []string) {
	for _, name := range names {
		if v := src[name]; len(v) > 0 {
			dst[name] = v
		}
	}
}
