package proxy

import (
	"context"
	"net"
	"net/http"

	"caperdrum.org/node/connlimit"
)

type connectionKey struct{}

// withConnection is the ConnContext of the server for callers.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connlimit.Unwrap(c))
}

// openEnd is the connection of a caller that takes the end of its connection for the end of a stream, since HTTP/1.0 has
// no chunks. Until the stream is complete, the connection ends with a reset, also if this process is killed.
type openEnd struct{ conn *net.TCPConn }

// beginOpenEnd returns nil for callers that know chunks.
func beginOpenEnd(r *http.Request) *openEnd {
	conn, ok := r.Context().Value(connectionKey{}).(*net.TCPConn)
	if r.ProtoAtLeast(1, 1) || !ok {
		return nil
	}
	conn.SetLinger(0) // an error means that the connection is closed already
	return &openEnd{conn}
}

// complete has the connection closed in order. The stream must be written.
func (o *openEnd) complete() {
	if o != nil {
		o.conn.SetLinger(-1)
	}
}

// abort resets the connection.
func (o *openEnd) abort() {
	if o != nil {
		o.conn.Close() // below TLS, whose own close would say that the stream is complete
	}
}
