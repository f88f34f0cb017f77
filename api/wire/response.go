package wire

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// ErrMalformedResponse says that what was received is no response in HTTP.
const ErrMalformedResponse = errors.ConstError("malformed response")

// CheckResponseHead returns an error if a response that package net/http has parsed is none in HTTP (RFC 9112, section 5.1, and
// RFC 9110, section 15). The package accepts any three digits as a status and blanks in names of fields, also of those that
// frame the body. A switch of protocols, which was not asked for, is an error too.
func CheckResponseHead(status int, h http.Header) error {
	if status < http.StatusContinue || status > 599 || status == http.StatusSwitchingProtocols {
		return errors.Annotatef(ErrMalformedResponse, "status %03d", status)
	}
	for name := range h {
		if strings.IndexByte(name, ' ') >= 0 {
			return errors.Annotatef(ErrMalformedResponse, "the field name %q holds a blank", name)
		}
	}
	return nil
}

// CheckResponses returns a transport whose malformed responses are errors, as is the end of a body whose length is not stated
// if the request was not sent whole: the connection may have broken, which the kernel reports only once.
func CheckResponses(t http.RoundTripper) http.RoundTripper { return checkedTransport{t} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s := &sending{}
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), s.trace())))
	if err != nil {
		return nil, err
	}
	if err := CheckResponseHead(resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unframedBody{resp.Body, s}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport; see http.Client.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// sending follows how a request is sent. The transport may send it again on another connection.
type sending struct {
	mu   sync.Mutex
	done chan error // of the newest connection; has the result once the request was sent or failed
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.done = make(chan error, 1)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			select {
			case s.done <- info.Err:
			default:
			}
		},
	}
}

// result waits until the request was sent or failed.
func (s *sending) result() error {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if done == nil {
		return nil // not a transport that tells
	}
	err := <-done
	done <- err
	return err
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	s *sending
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.s.result() != nil {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
