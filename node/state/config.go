package state

import (
	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// applyPut replaces the text by one with a higher version. A put with a lower or equal version has no effect,
// even if its text differs from the one in force.
func (m *Machine) applyPut(p *wire.PutRequest) wire.PutResult {
	if p.Version <= m.s.Version {
		return wire.PutResult{Version: m.s.Version}
	}
	m.setText(m.cache.history.Next(p.Version, p.Text))
	return wire.PutResult{Applied: true, Version: p.Version}
}

// applyPutDelta is applyPut for a delta. A delta against another base text has no effect: rebase tells the
// proposer to compute it again.
func (m *Machine) applyPutDelta(d *wire.ConfigDelta) (result *wire.PutResult, rebase bool) {
	if d.Version <= m.s.Version {
		return &wire.PutResult{Version: m.s.Version}, false
	}
	next, err := m.cache.history.Apply(d)
	if err != nil {
		return &wire.PutResult{Version: m.s.Version}, true
	}
	m.setText(next)
	return &wire.PutResult{Applied: true, Version: d.Version}, false
}

func (m *Machine) setText(h *textdelta.History) {
	text := h.Text()
	m.s.Version, m.s.Text, m.s.Winner = text.Version, text.Text, ""
	m.cache.history = h
}
