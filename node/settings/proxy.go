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
	Listen string `ini:"listen" required:"true"` // callers
	Ready  string `ini:"ready" required:"true"`  // readiness, asked by a balancer
	// KeyAge is the age of the quorum's confirmation up to which a customer's
	// key is accepted: a key that was withdrawn stops working within it, also at
	// a process that is cut off.
	KeyAge time.Duration `ini:"key_age"`
	// RevokeWithin is the time after which a withdrawn key must have no effect;
	// it replaces KeyAge, with a margin.
	RevokeWithin time.Duration `ini:"revoke_within"`
	// Repeats, over all processes, in every RepeatWindow: RepeatRatio of the calls
	// and RepeatFixed besides.
	RepeatRatio  float64       `ini:"repeat_ratio"`
	RepeatFixed  float64       `ini:"repeat_fixed"`
	RepeatWindow time.Duration `ini:"repeat_window"`
	// ColdExcess and ColdSlack bound what all processes send in a second to an upstream that is
	// cold: ColdExcess times its cold_rate, and ColdSlack besides.
	ColdExcess float64 `ini:"cold_excess"`
	ColdSlack  int     `ini:"cold_slack"`
	// Rotation is how long a stopping process still accepts connections, until
	// the balancer has noticed that it is not ready.
	Rotation time.Duration `ini:"rotation"`
}

// EntryRole is the section [entry].
type EntryRole struct {
	Listen      string        `ini:"listen" required:"true"`
	MaxBody     int64         `ini:"max_body_bytes"`
	StaleAfter  time.Duration `ini:"stale_after"`   // age of the configuration's stamp that ends readiness
	RefuseStale bool          `ini:"refuse_stale"`  // refuse requests as not run while stale
	MaxInFlight int           `ini:"max_in_flight"` // requests served at a time
	MaxAnswer   int64         `ini:"max_answer_bytes"`
}

// AgentRole is the section [agent].
type AgentRole struct {
	Listen      string        `ini:"listen" required:"true"`
	Advertise   string        `ini:"advertise"` // address by which entries reach Listen; default Listen
	Service     string        `ini:"service" required:"true"`
	Upstream    string        `ini:"upstream" required:"true"` // host:port of the upstream
	KeepAnswers time.Duration `ini:"keep_answers"`
	KeepBytes   int64         `ini:"keep_answer_bytes"` // of ended answers, over all attempts
	MaxAnswer   int64         `ini:"max_answer_bytes"`
	HealthPath  string        `ini:"health_path"`
	LeaveGrace  time.Duration `ini:"leave_grace"` // how long a stopping gate still refuses new work instead of being gone
}

// Frontend is the section [frontend]: the listener of an adapter for operators
// and for upstreams that announce themselves. The product itself has none.
type Frontend struct {
	Listen string `ini:"listen" required:"true"`
}

// revokeMargin is the part of RevokeWithin, one in five, that is left for the way
// of a call from the check of its key to an upstream and for clocks that run at
// slightly different speeds.
const revokeMargin = 5

func proxyDefaults() ProxyRole {
	return ProxyRole{KeyAge: 4 * time.Second, Rotation: 2500 * time.Millisecond, RepeatRatio: 0.2, RepeatFixed: 50, RepeatWindow: 10 * time.Second, ColdExcess: 1}
}

// fill derives KeyAge from the time that is granted.
func (p *ProxyRole) fill() {
	if p.RevokeWithin > 0 {
		p.KeyAge = p.RevokeWithin - p.RevokeWithin/revokeMargin
	}
}

func (s *Settings) checkProxy(f *strictini.File) {
	checkAddress(f, "proxy", "listen", s.Proxy.Listen)
	checkAddress(f, "proxy", "ready", s.Proxy.Ready)
	checkAddress(f, "peers", "listen", s.Peers.Listen)
	if s.Proxy.ColdExcess <= 0 || s.Proxy.ColdSlack < 0 {
		f.Fail("proxy", "cold_excess", "cold_excess is not above zero, or cold_slack is below it", "write cold_excess = 1 and cold_slack = 0, or more")
	}
	if s.Proxy.RepeatWindow <= 0 {
		f.Fail("proxy", "repeat_window", "repeat_window is zero", "write a duration such as 10s")
	}
}

// ColdLimit bounds calls of upstreams that are cold.
func (p ProxyRole) ColdLimit() coldstart.Limit {
	return coldstart.Limit{Excess: p.ColdExcess, Slack: p.ColdSlack}
}

// PeerAddress is where other processes call this one.
func (s *Settings) PeerAddress() string {
	if s.Has(Control) {
		return s.Control.Advertise
	}
	return s.Peers.Listen
}

// fillPeerPorts replaces the ports of the control processes' addresses.
func (s *Settings) fillPeerPorts(f *strictini.File) {
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
