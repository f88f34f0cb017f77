package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
)

// Request is one call to an upstream.
type Request struct {
	Upstream       wire.Start // the incarnation of the upstream that is called
	Address        string
	Method         string
	Target         string // path and query as the caller sent them
	Host           string
	Header         http.Header // without hop-by-hop headers
	Body           []byte
	ID             string // the response must carry it; empty if responses carry none
	MaxConnections int    // maximum of connections to the address; zero is no limit
	NewConnection  bool   // use a new connection, since a response without an id may belong to another call
	Auxiliary      bool   // a report or a release, whose response need not state what responses to calls do
	Permit         Permit // needed if the upstream limits its requests
	Silence        SilenceCheck
}

// Response is an upstream's response whose body is still to be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // an error other than io.EOF means that the response is truncated
	Info   ResponseInfo

	conn      *conn
	resp      *http.Response
	sent      chan error   // has the result of sending the request once it is known
	ctxErr    func() error // of the call's context
	bodyEnded bool
	noReuse   bool // the connection is used for this call only
	detach    func() bool
	unwatch   func()
}

// Do sends the request once and reads the head of the response. An error has the verdict NotRun only if no
// byte of the request was sent, for example because the upstream accepts no calls; see Notices. When ctx ends
// the connection is closed, which most upstreams take as a cancellation.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	if err := p.notices.Check(req.Upstream, req.Permit); err != nil {
		return nil, err
	}
	c, err := p.get(ctx, req.Address, req.MaxConnections, req.NewConnection)
	if err != nil {
		return nil, err
	}
	// A response to another call may have announced a pause, a limit or the upstream's leaving while the
	// connection was made.
	if err := p.notices.Check(req.Upstream, req.Permit); err != nil {
		c.Close()
		return nil, err
	}
	detach := context.AfterFunc(ctx, func() { c.Close() })
	sent := make(chan error, 1)
	head := encodeHead(req)
	if len(head)+len(req.Body) <= inlineWriteMax {
		sent <- writeAll(c, append(head, req.Body...))
	} else {
		go func() { sent <- writeAll(c, head, req.Body) }()
	}
	r := &Response{conn: c, sent: sent, ctxErr: ctx.Err, noReuse: req.NewConnection, detach: detach, unwatch: c.watchSilence(req.Silence)}
	if err := r.readHead(p.protocol, req); err != nil {
		detach()
		r.unwatch()
		c.Close()
		countOversized(err)
		if ctx.Err() != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "no answer of %s in time", req.Address)
		}
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "%s: %v", req.Address, err)
	}
	if r.Status != http.StatusMisdirectedRequest { // then another upstream responded
		announced := r.Info
		if announced.Limit.Statement == LimitNone && (req.Auxiliary || announced.NotRun) {
			announced.Limit.Statement = LimitUnstated
		}
		p.notices.Record(req.Upstream, announced)
	}
	return r, nil
}

// inlineWriteMax is the size in bytes of a request that fits into a connection's send buffer, so that writing
// it does not wait for the upstream to read.
const inlineWriteMax = 32 << 10

func writeAll(w io.Writer, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	req.Header.Write(&b) // writing to a bytes.Buffer cannot fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	if req.NewConnection {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// errStrayResponses is returned if only responses to other calls arrived.
var errStrayResponses = errors.New("upstream: the answer belongs to another call")

// readHead reads until the response to this call begins. It skips informational responses and those to
// earlier calls.
func (r *Response) readHead(protocol Protocol, req *Request) error {
	for stray, interim := 0, 0; stray <= maxStrayResponses; {
		r.conn.head.begin()
		resp, err := http.ReadResponse(r.conn.br, &http.Request{Method: req.Method})
		r.conn.head.end()
		if err != nil && r.conn.head.above {
			return errHeadTooLarge // the parser reports the line that was cut instead
		}
		if err == nil {
			err = wire.CheckResponseHead(resp.StatusCode, resp.Header)
		}
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return errTooManyInterim
			}
			continue
		}
		info := protocol.ParseResponse(resp.StatusCode, resp.Header)
		if req.ID == "" || info.ID == req.ID || info.ID == "" && info.NotRun {
			r.Status, r.Header, r.Info, r.resp = resp.StatusCode, resp.Header, info, resp
			r.Body = (*responseBody)(r)
			return nil
		}
		stray++
		if err := discardStray(resp.Body); err != nil {
			return err
		}
	}
	return errStrayResponses
}

// responseBody records the end of the body.
type responseBody Response

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.bodyEnded = true
	}
	return n, err
}

// Buffered returns how many bytes of the connection can be read without blocking.
func (r *Response) Buffered() int { return r.conn.br.Buffered() }

// Abort closes the connection, which ends a blocked read of the body.
func (r *Response) Abort() { r.conn.Close() }

// Close ends the call. The connection is kept if request and response are complete and nothing follows.
func (r *Response) Close() {
	r.unwatch()
	if !r.detach() { // ctx ended and closed the connection
		return
	}
	if !r.reusable() {
		r.conn.Close()
		return
	}
	if keep := idleTimeoutOf(r.Header); keep > 0 {
		r.conn.pool.put(r.conn, keep)
		return
	}
	r.conn.Close()
}

func (r *Response) reusable() bool {
	if !r.bodyEnded || r.noReuse || r.resp.Close || r.Framing() == FramedByClose || r.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.sent:
		r.sent <- err
		return err == nil
	default: // the response came before the request was sent completely
		return false
	}
}

// awaitSent waits until the request was sent or failed.
func (r *Response) awaitSent() error {
	err := <-r.sent
	r.sent <- err
	return err
}

// ReadAll reads the body up to a limit in bytes. It returns an error unless the body is whole as far as the response itself
// tells.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	ending := r.Ending(BodyEnd{Err: err, TooLarge: int64(len(data)) > limit}, func() ProcessState { return ProcessUnknown })
	if !ending.Complete() {
		return nil, errors.Errorf("the answer was cut (%s, framing %s): %v", ending, r.Framing(), err)
	}
	return data, nil
}
