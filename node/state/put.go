package state

import (
	"caperdrum.org/api/wire"
	"caperdrum.org/node/textdelta"
)

// put takes over a text with a higher version. Any other is without effect,
// also one with other content under the version in force.
func (m *Machine) put(p *wire.PutRequest) wire.PutResult {
	if p.Version <= m.s.Version {
		return wire.PutResult{Version: m.s.Version}
	}
	m.takeText(m.parts.history.Next(p.Version, p.Text))
	return wire.PutResult{Applied: true, Version: p.Version}
}

// putDelta is put for a difference. One that was made for another text has no effect
// and must be made anew.
func (m *Machine) putDelta(d *wire.ConfigDelta) (result *wire.PutResult, rebase bool) {
	if d.Version <= m.s.Version {
		return &wire.PutResult{Version: m.s.Version}, false
	}
	next, err := m.parts.history.Apply(d)
	if err != nil {
		return &wire.PutResult{Version: m.s.Version}, true
	}
	m.takeText(next)
	return &wire.PutResult{Applied: true, Version: d.Version}, false
}

func (m *Machine) takeText(h *textdelta.History) {
	text := h.Text()
	m.s.Version, m.s.Text, m.s.Winner = text.Version, text.Text, ""
	m.parts.history = h
}
