package wire

import "net/http"

// passedToUpstream are the request headers that travel from a caller to an
// upstream. Idempotency-Key is left out on purpose: with it net/http would
// repeat a request by itself. Authorization is the caller's business with the
// upstream; it is never logged.
var passedToUpstream = []string{"Content-Type", "Content-Encoding", "Content-Language", "Accept", "Accept-Language",
	"Authorization", "Traceparent", "Tracestate"}

// passedToCaller are the response headers that travel back.
var passedToCaller = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Cache-Control", "Etag", "Last-Modified", "Location", "Www-Authenticate"}

// PassToUpstream copies the request headers that an upstream may see.
func PassToUpstream(dst, src http.Header) { pass(dst, src, passedToUpstream) }

// PassToCaller copies the response headers that a caller may see.
func PassToCaller(dst, src http.Header) { pass(dst, src, passedToCaller) }

func pass(dst, src http.Header, names []string) {
	for _, name := range names {
		if v := src[name]; len(v) > 0 {
			dst[name] = v
		}
	}
}
