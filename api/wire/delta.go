package wire

// ConfigDelta updates the operators' configuration from version Base to Version. The concatenated
// Pieces are the new text.
type ConfigDelta struct {
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Hash    uint64      `json:"hash"` // xxhash64 of the whole new text
	Pieces  []TextPiece `json:"pieces"`
}

// TextPiece copies Count sections of the base text, starting with section From. If Count is
// zero, it is one new section, Text.
type TextPiece struct {
	From  int    `json:"from,omitempty"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// NewerThan reports whether m is a later record of the same process than old.
func (m Member) NewerThan(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Revision > old.Revision
}

// ChangedSince reports whether m is a later record than old and differs from it in more than the
// revision. Each heartbeat of an upstream has a new revision, but most change nothing else.
func (m Member) ChangedSince(old Member) bool {
	if !m.NewerThan(old) {
		return false
	}
	old.Revision = m.Revision
	return m != old
}
