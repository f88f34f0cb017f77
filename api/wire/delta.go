package wire

// ConfigDelta brings the operators' text from version Base to Version. Its
// pieces, joined in order, are the new text.
type ConfigDelta struct {
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Hash    uint64      `json:"hash"` // xxhash64 of the whole new text
	Pieces  []TextPiece `json:"pieces"`
}

// TextPiece is a run of Count sections of the base text from section From on,
// or, when Count is zero, one new section.
type TextPiece struct {
	From  int    `json:"from,omitempty"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// Follows reports whether m is a later record of the same process than old.
func (m Member) Follows(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Revision > old.Revision
}

// Changes reports whether m is a later record than old and says something else: upstreams number
// their signs of life, most of which say the same.
func (m Member) Changes(old Member) bool {
	if !m.Follows(old) {
		return false
	}
	old.Revision = m.Revision
	return m != old
}
