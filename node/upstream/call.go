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

// Request is one call of an upstream.
type Request struct {
	Upstream wire.Start // that is called
	Address  string
	Method   string
	Target   string // path and query as the caller wrote them
	Host     string
	Header   http.Header // without those that concern one connection
	Body     []byte
	ID       string // the answer must carry it; empty when answers carry none
	Limit    int    // connections to the address; zero is no limit
	Fresh    bool   // use a new connection, since an answer that carries no id may be another call's
}

// Response is an upstream's answer whose body is still to be read. It must be
// closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // an error other than io.EOF says that the answer is cut
	Answer Answer

	conn   *conn
	resp   *http.Response
	sent   <-chan error // result of sending the request
	ended  bool
	fresh  bool // the connection was opened for this call only
	detach func() bool
}

// Do sends the request once and reads the head of the answer. An error carries
// the verdict NotRun only if no byte of the request was sent, as to an upstream that wants no
// calls; see Notices. When ctx ends the connection is closed, which most upstreams take as a
// cancellation.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	if err := p.notices.refuse(req.Upstream); err != nil {
		return nil, err
	}
	c, err := p.get(ctx, req.Address, req.Limit, req.Fresh)
	if err != nil {
		return nil, err
	}
	// The upstream may have spoken while the connection was made.
	if err := p.notices.refuse(req.Upstream); err != nil {
		c.Close()
		return nil, err
	}
	detach := context.AfterFunc(ctx, func() { c.Close() })
	sent := make(chan error, 1)
	head := encodeHead(req)
	if len(head)+len(req.Body) <= writeAtOnce {
		sent <- writeAll(c, append(head, req.Body...))
	} else {
		go func() { sent <- writeAll(c, head, req.Body) }()
	}
	r := &Response{conn: c, sent: sent, fresh: req.Fresh, detach: detach}
	if err := r.readHead(p.protocol, req); err != nil {
		detach()
		c.Close()
		if ctx.Err() != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "no answer of %s in time", req.Address)
		}
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "%s: %v", req.Address, err)
	}
	if r.Status != http.StatusMisdirectedRequest { // that is another upstream's
		p.notices.Heard(req.Upstream, r.Answer)
	}
	return r, nil
}

// writeAtOnce is the size of a request that fits into a connection's send
// buffer, so that the writer does not wait for the upstream to read.
const writeAtOnce = 32 << 10

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
	req.Header.Write(&b) // cannot fail on a buffer
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	if req.Fresh {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// errStray says that only answers to other calls came.
var errStray = errors.New("upstream: the answer belongs to another call")

// readHead reads until the answer to this call begins. Informational answers
// and those to earlier calls are skipped.
func (r *Response) readHead(protocol Protocol, req *Request) error {
	for stray := 0; stray <= maxStrayAnswers; {
		resp, err := http.ReadResponse(r.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		answer := protocol.Answer(resp.StatusCode, resp.Header)
		if req.ID == "" || answer.ID == req.ID || answer.ID == "" && answer.NotRun {
			r.Status, r.Header, r.Answer, r.resp = resp.StatusCode, resp.Header, answer, resp
			r.Body = (*answerBody)(r)
			return nil
		}
		stray++
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errStray
}

// answerBody notes the end of the body.
type answerBody Response

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Framed reports whether the answer says where its body ends. Any other ends with its connection.
func (r *Response) Framed() bool {
	return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
}

// Buffered returns how many bytes of the connection can be read without
// waiting.
func (r *Response) Buffered() int { return r.conn.br.Buffered() }

// Abort closes the connection, and so ends a read of the body that waits.
func (r *Response) Abort() { r.conn.Close() }

// Close ends the call. The connection is kept if answer and request are
// complete and nothing follows.
func (r *Response) Close() {
	if !r.detach() { // ctx ended and closed the connection
		return
	}
	if !r.reusable() {
		r.conn.Close()
		return
	}
	if keep := keepFor(r.Header); keep > 0 {
		r.conn.pool.put(r.conn, keep)
		return
	}
	r.conn.Close()
}

func (r *Response) reusable() bool {
	if !r.ended || r.fresh || r.resp.Close || !r.Framed() || r.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.sent: // an early answer leaves the rest of the request unsent
		return err == nil
	default:
		return false
	}
}
