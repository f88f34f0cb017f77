package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// stream carries the objects of one connection.
type stream struct {
	conn    progressConn
	decoder *json.Decoder
	writeMu sync.Mutex
}

func newStream(c net.Conn) *stream {
	conn := progressConn{c}
	return &stream{conn: conn, decoder: json.NewDecoder(conn)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error { return s.decoder.Decode(v) }

// WriteObject implements jsonrpc2.ObjectStream. What encodes itself is not gone over once more.
func (s *stream) WriteObject(v any) error {
	m, ok := v.(json.Marshaler)
	if !ok {
		return s.write(json.Marshal(v))
	}
	return s.write(m.MarshalJSON())
}

func (s *stream) write(data []byte, err error) error {
	if err != nil {
		return errors.Trace(err)
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, err = s.conn.Write(append(data, '\n'))
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// responder answers the calls of one connection. It encodes an answer once: package jsonrpc2 encodes the result, the
// response around it and the message around that, each time over all of its bytes, which is most of what a control
// process does when many processes start.
type responder struct {
	server *Server
	stream *stream
}

// response is a response object (JSON-RPC 2.0, section 5).
type response struct {
	Version string          `json:"jsonrpc"`
	ID      jsonrpc2.ID     `json:"id"`
	Result  any             `json:"result,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
}

// Handle implements jsonrpc2.Handler.
func (r responder) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := r.server.dispatch(ctx, req)
	if req.Notif {
		return
	}
	data, err := encodeResponse(req.ID, result, err)
	if r.stream.write(data, err) != nil {
		conn.Close() // the caller would wait for an answer that cannot come
	}
}

// encodeResponse encodes how a call ended. A result that cannot be encoded is an error to its caller.
func encodeResponse(id jsonrpc2.ID, result any, err error) ([]byte, error) {
	if err == nil {
		var data []byte
		if data, err = json.Marshal(response{Version: "2.0", ID: id, Result: result}); err == nil {
			return data, nil
		}
	}
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		rpc = &jsonrpc2.Error{Message: err.Error()}
	}
	return json.Marshal(response{Version: "2.0", ID: id, Error: rpc})
}

const (
	// writeTimeout bounds a write without progress: a peer that was cut off
	// silently acknowledges nothing, and the kernel would keep a writer with a
	// full send buffer waiting for many minutes.
	writeTimeout = 2 * time.Second
	writeChunk   = 64 << 10
)

// boundedConn fails writes that make no progress within writeTimeout.
type progressConn struct{ net.Conn }

// Write implements io.Writer.
func (c progressConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(p[sent:min(len(p), sent+writeChunk)])
		sent += n
		if err != nil {
			c.Close() // part of a message may have been sent
			return sent, err
		}
	}
	return sent, nil
}
