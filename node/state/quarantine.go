package state

import "caperdrum.org/api/wire"

// quarantine carries out what a command says of calls that end upstreams.
func (m *Machine) quarantine(c *Command, r *Result) {
	expires := m.s.Now >= m.expireAt
	if expires {
		m.s.Quarantine.Expire(m.s.Now)
	}
	if c.Crashes != nil {
		change := m.s.Quarantine.Apply(c.Crashes, m.s.Now)
		r.Quarantine = &change
	}
	if c.Lift != "" {
		r.Quarantine = &wire.QuarantineChange{}
		if m.s.Quarantine.Lift(c.Lift) {
			r.Quarantine.Lifted = []wire.Fingerprint{c.Lift}
		}
	}
	if expires || r.Quarantine != nil {
		m.showQuarantine()
	}
}

func (m *Machine) showQuarantine() {
	m.suspects, m.quarantined, m.expireAt = m.s.Quarantine.Suspects(), m.s.Quarantine.Entries(), m.s.Quarantine.NextExpiry()
}
