package settings

import (
	"fmt"
	"net"
	"time"

	"caperdrum.org/api/strictini"
	"caperdrum.org/node/coldstart"
)

// ProxyRole is the section [proxy].
type ProxyRole struct {
	Listen string `ini:"listen" required:"true"` // address for callers
	Ready  string `ini:"ready" required:"true"`  // address of the readiness endpoint, which load balancers poll
	// KeyAge is how long after the last confirmation by a quorum a customer's key is still
	// accepted. It bounds how long a revoked key works, also at a process that is partitioned
	// from the others.
	KeyAge time.Duration `ini:"key_age"`
	// RevokeWithin is the time after which a revoked key must have no effect. If set, it
	// replaces KeyAge, with a margin.
	RevokeWithin time.Duration `ini:"revoke_within"`
	// Retry budget of all processes together: in every RepeatWindow, RepeatRatio of the calls
	// plus RepeatFixed.
	RepeatRatio  float64       `ini:"repeat_ratio"`
	RepeatFixed  float64       `ini:"repeat_fixed"`
	RepeatWindow time.Duration `ini:"repeat_window"`
	// ColdExcess and ColdSlack bound the calls that all processes together send to a cold
	// upstream in a second: ColdExcess times its cold_rate, plus ColdSlack.
	ColdExcess float64 `ini:"cold_excess"`
	ColdSlack  int     `ini:"cold_slack"`
	// MeasuredThroughput has the stage owner admit jobs by the throughput that it measures.
	MeasuredThroughput bool `ini:"measured_throughput"`
	// HedgeStages allows the stage owner to send the pieces of a call that takes far longer than
	// expected to a second upstream.
	HedgeStages bool `ini:"hedge_stages"`
	// FairStages shares the capacity of the stages' services between customers under overload: at the stage owner, jobs
	// of customers that have more than their share go behind others while jobs of those are late.
	FairStages bool `ini:"fair_stages"`
	// Rotation is how long a stopping process still accepts connections, so that the
	// load balancer has time to notice that it is not ready.
	Rotation time.Duration `ini:"rotation"`
}

// EntryRole is the section [entry].
type EntryRole struct {
	Listen         string        `ini:"listen" required:"true"`
	MaxBodyBytes   int64         `ini:"max_body_bytes"`
	StaleAfter     time.Duration `ini:"stale_after"`   // the process is not ready if its configuration was last confirmed longer ago
	RefuseStale    bool          `ini:"refuse_stale"`  // refuse requests with verdict not-run while the configuration is stale
	MaxInFlight    int           `ini:"max_in_flight"` // maximum number of concurrent requests
	MaxAnswerBytes int64         `ini:"max_answer_bytes"`
}

// AgentRole is the section [agent].
type AgentRole struct {
	Listen          string        `ini:"listen" required:"true"`
	Advertise       string        `ini:"advertise"` // address by which entries reach Listen; default Listen
	Service         string        `ini:"service" required:"true"`
	Upstream        string        `ini:"upstream" required:"true"` // host:port of the upstream
	KeepAnswers     time.Duration `ini:"keep_answers"`
	KeepAnswerBytes int64         `ini:"keep_answer_bytes"` // memory limit for the answers of finished attempts, over all attempts
	MaxAnswerBytes  int64         `ini:"max_answer_bytes"`
	HealthPath      string        `ini:"health_path"`
	LeaveGrace      time.Duration `ini:"leave_grace"` // how long a stopping gate refuses new work as not run; a closed connection would leave open whether the work ran
}

// Frontend is the section [frontend]: the listener of an adapter for operators
// and for upstreams that announce themselves. The product itself includes no adapter.
type Frontend struct {
	Listen string `ini:"listen" required:"true"`
}

// revokeMarginDivisor sets the margin of RevokeWithin to one fifth. The margin covers the time
// from the check of a call's key until the call reaches an upstream, and clocks that run at
// slightly different speeds.
const revokeMarginDivisor = 5

func proxyDefaults() ProxyRole {
	return ProxyRole{KeyAge: 4 * time.Second, Rotation: 2500 * time.Millisecond, RepeatRatio: 0.2, RepeatFixed: 50, RepeatWindow: 10 * time.Second, ColdExcess: 1}
}

// deriveKeyAge sets KeyAge from RevokeWithin, if that is set.
func (p *ProxyRole) deriveKeyAge() {
	if p.RevokeWithin > 0 {
		p.KeyAge = p.RevokeWithin - p.RevokeWithin/revokeMarginDivisor
	}
}

func (s *Settings) checkProxy(f *strictini.File) {
	checkAddress(f, "proxy", "listen", s.Proxy.Listen)
	checkAddress(f, "proxy", "ready", s.Proxy.Ready)
	checkAddress(f, "peers", "listen", s.Peers.Listen)
	if s.Proxy.ColdExcess <= 0 || s.Proxy.ColdSlack < 0 {
		f.Fail("proxy", "cold_excess", "cold_excess is not above zero, or cold_slack is negative", "write cold_excess = 1 and cold_slack = 0, or more")
	}
	if s.Proxy.RepeatWindow <= 0 {
		f.Fail("proxy", "repeat_window", "repeat_window is zero", "write a duration such as 10s")
	}
}

// ColdLimit returns the limit on calls to cold upstreams.
func (p ProxyRole) ColdLimit() coldstart.Limit {
	return coldstart.Limit{Excess: p.ColdExcess, Slack: p.ColdSlack}
}

// PeerAddress returns the address at which other processes call this one.
func (s *Settings) PeerAddress() string {
	if s.HasRole(Control) {
		return s.Control.Advertise
	}
	return s.Peers.Listen
}

// replacePeerPorts sets the ports of the control processes' addresses to Peers.Port.
func (s *Settings) replacePeerPorts(f *strictini.File) {
	if s.Peers.Port == "" {
		return
	}
	for i, address := range s.Peers.Control {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			f.Fail("peers", "control", fmt.Sprintf("%q is not an address", address), "write IP:PORT, such as 127.0.0.1:7100")
			return
		}
		s.Peers.Control[i] = net.JoinHostPort(host, s.Peers.Port)
	}
}
