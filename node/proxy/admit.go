package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/juju/errors"

	"caperdrum.org/api/verdict"
)

// admit finds the route and the customer, and how long the call may take.
func (x *exchange) admit() error {
	s := x.s
	var invalid error
	x.call, invalid = s.protocol.Call(x.r.Header)
	if err := x.awaitConfiguration(); err != nil {
		return err
	}
	if invalid != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%s", invalid)
	}
	if x.route = x.table.route(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		if s.stale() {
			return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no such route as far as is known here").WithRetryAfter(afterOutage())
		}
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such route")
	}
	if err := x.identify(); err != nil {
		return err
	}
	x.within = x.table.regions.Within(x.route.Regions, x.customerRegions())
	x.service = x.table.config.Services[service(x.route, rand.Float64())]
	x.deadline = x.began.Add(x.route.Timeout)
	if wait := x.call.Wait; wait > 0 && wait < x.route.Timeout {
		x.deadline = x.began.Add(wait)
	}
	return nil
}

// awaitConfiguration lets a call wait for this process's first configuration. One whose time is over by then is
// not sent on: an upstream could only be asked in vain.
func (x *exchange) awaitConfiguration() error {
	if x.table.configured() {
		return nil
	}
	tooLate := x.s.first.wait(x.r.Context(), x.call.Wait)
	x.table = x.s.table.Load()
	switch {
	case tooLate:
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline passed before there was a configuration")
	case !x.table.configured():
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no configuration yet").WithRetryAfter(afterOutage())
	}
	return nil
}

func (x *exchange) customerRegions() []string {
	if x.customer == nil {
		return nil
	}
	return x.customer.Regions
}

// identify finds out whose call it is. A key counts only while this process
// knows that it was not withdrawn.
func (x *exchange) identify() error {
	if x.route.Public || len(x.table.customers) == 0 {
		return nil
	}
	if x.s.sync.StampAge() > x.s.set.Proxy.KeyAge {
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "keys cannot be checked here now").WithRetryAfter(afterOutage())
	}
	if x.customer = x.table.customer(x.call.Key); x.customer != nil {
		return nil
	}
	if x.s.stale() {
		return verdict.New(verdict.NotRun, verdict.CodeConfigStale, "no such key as far as is known here").WithRetryAfter(afterOutage())
	}
	e := verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "unknown key")
	e.Status = http.StatusUnauthorized
	return e
}

// read takes in the body.
func (x *exchange) read() error {
	limit := x.table.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var err error
	x.body, err = io.ReadAll(&fullReader{r: http.MaxBytesReader(x.w, x.r.Body, limit), held: &x.held, free: freeBytes})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is above %d bytes", limit)
	case errors.Is(err, errHeld):
		noRoomVar.Add(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", err).WithRetryAfter(comeBack)
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body ended early")
	}
	return nil
}
