package proxy

import (
	"caperdrum.org/api/wire"
	"caperdrum.org/node/quarantine"
)

// broke has it found out why the call broke off at the upstream.
func (x *exchange) broke(m wire.Member) {
	x.s.inquiries.Broke(quarantine.Broken{Call: x.copied(), Request: x.call.ID, Route: x.route.Name, Upstream: m})
}

// copied is what other tries of the same call share with this one.
func (x *exchange) copied() quarantine.Call {
	return quarantine.Call{Customer: x.customerName(), Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body}
}

// endedUnder notes that an upstream's process ended while it had a call. One that had said that
// it leaves may end with calls.
func (s *Service) endedUnder(b quarantine.Broken) {
	if s.table.Load().leaving(b.Upstream.Start()) {
		return
	}
	endedUnderVar.Add(b.Upstream.Service, 1)
	s.log.Info("upstream ended under a call", "request", b.Request, "route", b.Route, "customer", b.Call.Customer, "fingerprint", b.Call.Fingerprint(),
		"upstream", b.Upstream.ID, "address", b.Upstream.Direct, "service", b.Upstream.Service)
}
