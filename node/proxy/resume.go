package proxy

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/streamorigin"
)

// originGrace is how much longer than its caller waits the record of a stream is kept, for the time between the
// caller's clock and this process.
const originGrace = time.Second

// findOrigin finds the service and the software version at which the stream began that the call continues. Without
// them it returns an error: at another version the rest of the stream would not fit. A call that names no last event
// begins a stream, whatever it names besides.
func (x *exchange) findOrigin(ctx context.Context) error {
	if !x.route.Streaming || x.call.LastEventID == "" {
		return nil
	}
	x.s.log.Info("stream taken up", "request", x.call.ID, "route", x.route.Name, "customer", x.customerName(),
		"last_event", x.call.LastEventID, "resumes", x.call.Resumes.Attempt, "invalid", x.call.Resumes.Invalid)
	switch {
	case x.call.Resumes.Invalid != "":
		return errStreamUnknown("the attempt that began the stream is not named by one valid id")
	case x.call.Resumes.Attempt == "":
		return errStreamUnknown("the attempt that began the stream is not named")
	}
	origin, known := x.s.origins.Find(ctx, streamorigin.Key{Customer: x.customerName(), Attempt: x.call.Resumes.Attempt})
	if !known {
		return errStreamUnknown("it is not known here where attempt %s of this customer began a stream", x.call.Resumes.Attempt)
	}
	service := x.table.config.Services[origin.Service]
	if service == nil || !slices.ContainsFunc(x.route.Weights, func(w optext.Weight) bool { return w.Service == origin.Service && w.Weight > 0 }) {
		return errStreamUnknown("the stream began at service %s, to which the route does not lead", origin.Service)
	}
	x.service, x.version = service, &origin.Version
	return nil
}

func errStreamUnknown(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeStreamUnknown, format, args...).WithRetryAfter(outageRetryAfter())
}

// recordOrigin records that the stream begins at the upstream, before its first event goes out. From then on it goes
// on at upstreams of this version only.
func (x *exchange) recordOrigin(ctx context.Context, m wire.Member) {
	if x.version != nil {
		return
	}
	x.version = &m.Version
	if !x.route.Repeatable() || x.call.ID == "" {
		return
	}
	wait := x.route.Timeout
	if x.call.Timeout > 0 {
		wait = x.call.Timeout
	}
	x.s.origins.Begin(ctx, streamorigin.Record{
		Key:    streamorigin.Key{Customer: x.customerName(), Attempt: x.call.ID},
		Origin: streamorigin.Origin{Service: x.service.Name, Version: m.Version},
		TTL:    time.Until(x.began.Add(wait)) + originGrace,
	})
}

// countContinued counts a stream that goes on at another upstream.
func (x *exchange) countContinued(m wire.Member) {
	result := "same-version"
	if x.version == nil || *x.version != m.Version {
		result = "other-version"
	}
	streamsContinuedVar.Add(x.service.Name+"/"+result, 1)
}
