package proxy

import (
	"context"
	"slices"
	"time"

	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/streamorigin"
	"caperdrum.org/node/upstream"
)

// originGrace is how much longer than its caller waits the record of a stream is kept, for the time between the
// caller's clock and this process.
const originGrace = time.Second

// maxRecordedTimeouts bounds how long the record of a stream is kept, in timeouts of its route, however long its caller
// says that it waits: records that expire last are kept when there are too many.
const maxRecordedTimeouts = 4

// soleVersionTimeout bounds how long a call waits for the answer whether its service has had one version only.
const soleVersionTimeout = 250 * time.Millisecond

// findOrigin finds the service and the software version at which the stream began that the call continues. Without
// them it returns an error: at another version the rest of the stream would not fit. They are known by a record of the
// attempt that the call names, or since the service has had one version only. A call that names no last event begins
// a stream, whatever it names besides.
func (x *exchange) findOrigin(ctx context.Context) error {
	if !x.route.Streaming || x.call.LastEventID == "" {
		return nil
	}
	x.s.log.Info("stream taken up", "request", x.call.ID, "route", x.route.Name, "customer", x.customerName(),
		"last_event", x.call.LastEventID, "resumes", x.call.Resumes.Attempt, "invalid", x.call.Resumes.Invalid)
	reason := "the attempt that began the stream is not named"
	switch attempt := x.call.Resumes.Attempt; {
	case x.call.Resumes.Invalid != "":
		reason = "the attempt that began the stream is not named by one valid id"
	case attempt != "":
		origin, known := x.s.origins.Find(ctx, streamorigin.Key{Customer: x.customerName(), Attempt: attempt})
		if known {
			return x.pin(origin)
		}
		reason = "no process that answers knows where attempt " + attempt + " of this customer began a stream"
	}
	if origin, known := x.soleOrigin(ctx); known {
		return x.pin(origin)
	}
	return errStreamUnknown(reason)
}

// pin restricts the call to where its stream began.
func (x *exchange) pin(origin streamorigin.Origin) error {
	service := x.table.config.Services[origin.Service]
	if service == nil || !slices.Contains(x.services(), origin.Service) {
		return errStreamUnknown("the stream began at service " + origin.Service + ", to which the route does not lead")
	}
	x.service, x.version = service, &origin.Version
	return nil
}

// services returns the services to which the route leads.
func (x *exchange) services() (out []string) {
	for _, w := range x.route.Weights {
		if w.Weight > 0 {
			out = append(out, w.Service)
		}
	}
	return out
}

// soleOrigin returns where every stream of the route has begun, if its service has had one version only.
func (x *exchange) soleOrigin(ctx context.Context) (streamorigin.Origin, bool) {
	services := x.services()
	if len(services) != 1 {
		return streamorigin.Origin{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(soleVersionTimeout, cancel).Stop()
	version, ok := x.s.soleVersion(ctx, services[0])
	return streamorigin.Origin{Service: services[0], Version: version}, ok
}

func errStreamUnknown(reason string) error {
	return verdict.New(verdict.NotRun, verdict.CodeStreamUnknown, "%s", reason).WithRetryAfter(outageRetryAfter())
}

// recordOrigin records that the stream begins at the upstream, before its first event goes out. From then on it goes
// on at upstreams of this version only.
func (x *exchange) recordOrigin(ctx context.Context, m wire.Member) {
	if x.version != nil {
		return
	}
	x.version = &m.Version
	if !x.route.Repeatable() || !upstream.ValidAttemptID(x.call.ID) {
		return // it cannot be taken up
	}
	wait := x.route.Timeout
	if x.call.Timeout > 0 {
		wait = min(x.call.Timeout, maxRecordedTimeouts*x.route.Timeout)
	}
	held := x.s.origins.Begin(ctx, streamorigin.Record{
		Key:    streamorigin.Key{Customer: x.customerName(), Attempt: x.call.ID},
		Origin: streamorigin.Origin{Service: x.service.Name, Version: m.Version},
		TTL:    time.Until(x.began.Add(wait)) + originGrace,
	})
	if !held && x.s.processCount() > 1 {
		x.s.log.Info("stream begins without a copy of its record", "request", x.call.ID, "service", x.service.Name, "upstream", m.ID, "version", m.Version)
	}
}

// countContinued counts a stream that goes on at another upstream.
func (x *exchange) countContinued(m wire.Member) {
	result := "same-version"
	if *x.version != m.Version {
		result = "other-version"
	}
	streamsContinuedVar.Add(x.service.Name+"/"+result, 1)
}
