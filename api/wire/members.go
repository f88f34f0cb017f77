package wire

import (
	"encoding/json"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// minCompressMembers is the length from which on a member list is compressed: some 4 kB of JSON.
const minCompressMembers = 16

// MembersDelta updates a member list from sequence number From to To. If Whole is set,
// Changed is the complete list and From is ignored.
type MembersDelta struct {
	From    uint64
	To      uint64
	Whole   bool
	Changed []Member
	Removed []MemberID

	encoded func() ([]byte, error) // cached encoding, see CacheEncoding; nil: encode on every call
}

// CacheEncoding caches the encoding of a delta that is sent to many processes. The delta must not be modified afterwards.
func (d *MembersDelta) CacheEncoding() *MembersDelta {
	if len(d.Changed) >= minCompressMembers {
		d.encoded = sync.OnceValues(d.encode)
	}
	return d
}

// membersDeltaWire is the wire format of a delta. A long list is sent in Compressed.
type membersDeltaWire struct {
	From       uint64     `json:"from"`
	To         uint64     `json:"to"`
	Whole      bool       `json:"whole,omitempty"`
	Changed    []Member   `json:"changed,omitempty"`
	Compressed []byte     `json:"packed,omitempty"`
	Removed    []MemberID `json:"removed,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (d MembersDelta) MarshalJSON() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded()
	}
	return d.encode()
}

func (d *MembersDelta) encode() ([]byte, error) {
	w := membersDeltaWire{From: d.From, To: d.To, Whole: d.Whole, Removed: d.Removed}
	if len(d.Changed) < minCompressMembers {
		w.Changed = d.Changed
		return json.Marshal(w)
	}
	var err error
	if w.Compressed, err = compressMembers(d.Changed); err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *MembersDelta) UnmarshalJSON(data []byte) error {
	var w membersDeltaWire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Trace(err)
	}
	*d = MembersDelta{From: w.From, To: w.To, Whole: w.Whole, Changed: w.Changed, Removed: w.Removed}
	if w.Compressed == nil {
		return nil
	}
	var err error
	d.Changed, err = decompressMembers(w.Compressed)
	return err
}

// memberRow is a Member in a compressed list, encoded as an array without field names. Processes reject rows of another
// length, so a new field must wait until all processes accept it. Millicores is left out: only control processes use it,
// and they read it in the replicated state.
type memberRow struct {
	_           struct{} `cbor:",toarray"`
	ID          MemberID
	Role        string
	VM          string
	DataCenter  string
	Debug       string
	Service     string
	Gate        string
	Incarnation uint64
	Leaving     bool
	Holds       string
	Peer        string
	Direct      string
	Revision    uint64
	Version     string
	Cold        bool
}

func compressMembers(list []Member) ([]byte, error) {
	rows := make([]memberRow, len(list))
	for i, m := range list {
		rows[i] = memberRow{ID: m.ID, Role: m.Role, VM: m.VM, DataCenter: m.DataCenter, Debug: m.Debug, Service: m.Service, Gate: m.Gate, Incarnation: m.Incarnation,
			Leaving: m.Leaving, Holds: m.Holds, Peer: m.Peer, Direct: m.Direct, Revision: m.Revision, Version: m.Version, Cold: m.Cold}
	}
	data, err := cbor.Marshal(rows)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Compress(data), nil
}

// The default limit of array elements is too low: a list may be as long as fits into maxDecompressedBytes.
var memberDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDecompressedBytes}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func decompressMembers(compressed []byte) ([]Member, error) {
	data, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	var rows []memberRow
	if err := memberDecMode.Unmarshal(data, &rows); err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrDecompress)
	}
	out := make([]Member, len(rows))
	for i, r := range rows {
		out[i] = Member{ID: r.ID, Role: r.Role, VM: r.VM, DataCenter: r.DataCenter, Debug: r.Debug, Service: r.Service, Gate: r.Gate, Incarnation: r.Incarnation,
			Leaving: r.Leaving, Holds: r.Holds, Peer: r.Peer, Direct: r.Direct, Revision: r.Revision, Version: r.Version, Cold: r.Cold}
	}
	return out, nil
}
