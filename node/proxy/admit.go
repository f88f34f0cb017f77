package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// admit finds the call's route, customer, service and deadline.
func (x *exchange) admit() error {
	s := x.s
	var invalid error
	x.call, invalid = s.protocol.ParseCall(x.r.Header)
	if err := x.awaitConfiguration(); err != nil {
		return err
	}
	if invalid != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%s", invalid)
	}
	if x.route = x.table.route(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		if x.stale() {
			return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no such route as far as is known here").WithRetryAfter(outageRetryAfter())
		}
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such route")
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	x.allowed = x.table.regions.Allowed(x.route.Regions, x.customerRegions())
	x.service = x.table.config.Services[pickService(x.route, rand.Float64())]
	x.deadline = x.began.Add(x.route.Timeout)
	if wait := x.call.Timeout; wait > 0 && wait < x.route.Timeout {
		x.deadline = x.began.Add(wait)
	}
	return nil
}

// awaitConfiguration makes a call wait for this process's first configuration. A call whose time is over
// by then is refused: sending it would be useless.
func (x *exchange) awaitConfiguration() error {
	if x.table.configured() {
		return nil
	}
	tooLate := x.s.startup.wait(x.r.Context(), x.call.Timeout)
	x.loadTable()
	switch {
	case tooLate:
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline passed before there was a configuration")
	case !x.table.configured():
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no configuration yet").WithRetryAfter(outageRetryAfter())
	}
	return nil
}

func (x *exchange) customerRegions() []string {
	if x.customer == nil {
		return nil
	}
	return x.customer.Regions
}

// authenticate finds the customer by the call's key. Keys count only while a recent confirmation by a
// quorum excludes that they were withdrawn.
func (x *exchange) authenticate() error {
	if x.route.Public || !x.table.config.KeysRequired {
		return nil
	}
	if x.stampAge > x.s.set.Proxy.KeyAge {
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "keys cannot be checked here now").WithRetryAfter(outageRetryAfter())
	}
	if x.customer = x.table.customer(x.call.BearerKey); x.customer != nil {
		return nil
	}
	if x.stale() {
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no such key as far as is known here").WithRetryAfter(outageRetryAfter())
	}
	e := verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "unknown key")
	e.Status = http.StatusUnauthorized
	return e
}

// readBody reads the call's body within the configured limit and the memory budget.
func (x *exchange) readBody() error {
	limit := x.table.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.setBodyDeadline(x.deadline)
	var err error
	x.body, err = io.ReadAll(&bodyReader{r: http.MaxBytesReader(x.w, x.r.Body, limit), memory: &x.memory, uncounted: uncountedBytes})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is above %d bytes", limit)
	case errors.Is(err, errNoMemory):
		bodiesRefusedVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", err).WithRetryAfter(defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e := verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the body did not arrive before the deadline")
		e.Status = http.StatusRequestTimeout
		return e
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body ended early")
	}
	x.setBodyDeadline(time.Time{})
	x.bodyRead = true
	return nil
}

// unreadBodyTime is how long a refusal waits for the rest of a body, so that the connection can be kept.
const unreadBodyTime = 500 * time.Millisecond

// setBodyDeadline sets the time by which the caller must have sent the body; zero means no limit.
func (x *exchange) setBodyDeadline(at time.Time) {
	if x.r.ContentLength != 0 {
		http.NewResponseController(x.w).SetReadDeadline(at) // an error means that the writer does not support deadlines
	}
}
