package state

import "caperdrum.org/api/wire"

// applyQuarantine executes the parts of a command that concern quarantined calls, and expires old entries.
func (m *Machine) applyQuarantine(c *Command, r *Result) {
	expires := m.s.Now >= m.quarantineExpiry
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
		m.refreshQuarantine()
	}
}

func (m *Machine) refreshQuarantine() {
	m.suspects, m.quarantineEntries, m.quarantineExpiry = m.s.Quarantine.Suspects(), m.s.Quarantine.Entries(), m.s.Quarantine.NextExpiry()
}
