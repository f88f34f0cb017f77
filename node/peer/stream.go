package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxObjectBytes bounds one JSON object. The largest sound one holds an operators' text of 32 MiB, half of whose bytes are
// escaped.
const maxObjectBytes = 64 << 20

// errObjectTooLarge says that a peer sends an object that is above the bound, or never ends.
var errObjectTooLarge = errors.New("peer: a message is too large, or does not end")

// countedMessages is implemented by connections that count what their peers send against the memory of the process.
type countedMessages interface {
	BeginMessage()
	EndMessage()
	// MaxMessageBytes returns the limit of a message, given the one that holds where there is memory enough.
	MaxMessageBytes(limit int64) int64
}

// uncounted are the messages of a connection that this process has opened.
type uncounted struct{}

func (uncounted) BeginMessage()                     {}
func (uncounted) EndMessage()                       {}
func (uncounted) MaxMessageBytes(limit int64) int64 { return limit }

// largeObjectBytes is the size from which on an object's buffer is not kept for the next one.
const largeObjectBytes = 256 << 10

// stream reads and writes the JSON objects of one connection.
type stream struct {
	conn    progressConn
	counted countedMessages
	bounded *objectReader
	decoder *json.Decoder
	onWrite func(n int) // called before n bytes are written or wait for others to be; may be nil
	writeMu sync.Mutex
}

func newStream(c net.Conn) *stream {
	conn := progressConn{c}
	counted, ok := c.(countedMessages)
	if !ok {
		counted = uncounted{}
	}
	bounded := &objectReader{r: conn, limit: counted.MaxMessageBytes(maxObjectBytes)}
	return &stream{conn: conn, counted: counted, bounded: bounded, decoder: json.NewDecoder(bounded)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if s.bounded.read > largeObjectBytes {
		// What the decoder has read beyond the object is copied out of its large buffer.
		read, err := io.ReadAll(s.decoder.Buffered())
		if err != nil {
			return errors.Trace(err)
		}
		s.decoder = json.NewDecoder(io.MultiReader(bytes.NewReader(read), s.bounded))
	}
	s.bounded.read = 0
	s.counted.BeginMessage()
	err := s.decoder.Decode(v)
	if err == nil {
		s.counted.EndMessage()
	}
	return err
}

// objectReader bounds the bytes that are read for one object.
type objectReader struct {
	r     io.Reader
	limit int64
	read  int64 // for the current object
}

// Read implements io.Reader.
func (o *objectReader) Read(p []byte) (int, error) {
	if o.read >= o.limit {
		return 0, errObjectTooLarge
	}
	n, err := o.r.Read(p)
	o.read += int64(n)
	return n, err
}

// WriteObject implements jsonrpc2.ObjectStream. The output of a json.Marshaler is not validated and compacted
// again.
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
	if s.onWrite != nil {
		s.onWrite(len(data))
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, err = s.conn.Write(append(data, '\n'))
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// responder handles the calls of one connection. It encodes each response only once. Package jsonrpc2 encodes
// the result, the response around it and the message around that, each time processing all bytes, which
// dominates the work of a control process when many processes start.
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
		conn.Close() // otherwise, the caller would wait for an answer that will not come
	}
}

// encodeResponse encodes the outcome of a call. If the result cannot be encoded, the caller gets an error.
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
	// writeTimeout limits a write without progress. A partitioned peer acknowledges nothing, and the kernel
	// would block a writer with a full send buffer for many minutes.
	writeTimeout = 2 * time.Second
	writeChunk   = 64 << 10
)

// progressConn fails writes that make no progress within writeTimeout.
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
			c.Close() // a message may have been sent in part
			return sent, err
		}
	}
	return sent, nil
}
