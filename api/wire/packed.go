package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// PackFrom is the size in bytes from which on texts are packed. Shorter ones fit
	// into a few packets as they are.
	PackFrom = 4 << 10
	// maxUnpacked bounds what a packed text may grow to, in bytes: eight times the text
	// of 24,000 requests/s over 100,000 customers (docs/CAPACITY.md).
	maxUnpacked = 64 << 20
)

// ErrUnpack says that a packed text is damaged or too long.
const ErrUnpack = errors.ConstError("wire: a packed text cannot be read")

// writers are kept because one holds some 600 kB of tables.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	return w
}}

// Pack compresses data (RFC 1951). A text of 4,200 alike routes shrinks from 790 to some 60 kB
// in 5 ms; sending it whole over a link of 10 Mbit/s takes 630 ms.
func Pack(data []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	w.Write(data) // a buffer takes everything
	w.Close()
	return b.Bytes()
}

// Unpack returns what Pack was given.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrUnpack)
	}
	if len(data) > maxUnpacked {
		return nil, errors.Annotatef(ErrUnpack, "more than %d bytes", maxUnpacked)
	}
	return data, nil
}

// longText is a text on the wire: packed where that is worth it.
type longText struct {
	Text   string `json:"text,omitempty"`
	Packed []byte `json:"packed,omitempty"`
}

func packText(text string) longText {
	if len(text) < PackFrom {
		return longText{Text: text}
	}
	return longText{Packed: Pack([]byte(text))}
}

func (l longText) unpack() (string, error) {
	if l.Packed == nil {
		return l.Text, nil
	}
	data, err := Unpack(l.Packed)
	return string(data), err
}

type configTextWire struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
	longText
}

// MarshalJSON implements json.Marshaler.
func (c ConfigText) MarshalJSON() ([]byte, error) {
	if c.Hash == 0 || len(c.Text) < PackFrom {
		return c.encode()
	}
	l := &lastText
	l.Lock()
	defer l.Unlock()
	if l.version == c.Version && l.hash == c.Hash {
		return l.encoded, nil
	}
	encoded, err := c.encode()
	if err != nil {
		return nil, err
	}
	l.version, l.hash, l.encoded = c.Version, c.Hash, encoded
	return encoded, nil
}

func (c ConfigText) encode() ([]byte, error) {
	return json.Marshal(configTextWire{c.Version, c.Hash, packText(c.Text)})
}

// lastText is the text that was encoded last. After a start of many processes each gets the same one.
var lastText struct {
	sync.Mutex
	version, hash uint64
	encoded       []byte
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *ConfigText) UnmarshalJSON(data []byte) error {
	var w configTextWire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Trace(err)
	}
	text, err := w.unpack()
	*c = ConfigText{Version: w.Version, Text: text, Hash: w.Hash}
	return err
}

type putRequestWire struct {
	Version uint64 `json:"version"`
	longText
}

// MarshalJSON implements json.Marshaler.
func (p PutRequest) MarshalJSON() ([]byte, error) {
	return json.Marshal(putRequestWire{p.Version, packText(p.Text)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *PutRequest) UnmarshalJSON(data []byte) error {
	var w putRequestWire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Trace(err)
	}
	text, err := w.unpack()
	*p = PutRequest{Version: w.Version, Text: text}
	return err
}

type configDeltaWire struct {
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Hash    uint64      `json:"hash"`
	Pieces  []TextPiece `json:"pieces,omitempty"`
	Packed  []byte      `json:"packed,omitempty"` // Pieces, where they are long
}

// MarshalJSON implements json.Marshaler.
func (d ConfigDelta) MarshalJSON() ([]byte, error) {
	w := configDeltaWire{Base: d.Base, Version: d.Version, Hash: d.Hash, Pieces: d.Pieces}
	pieces, err := json.Marshal(d.Pieces)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(pieces) >= PackFrom {
		w.Pieces, w.Packed = nil, Pack(pieces)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *ConfigDelta) UnmarshalJSON(data []byte) error {
	var w configDeltaWire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Trace(err)
	}
	*d = ConfigDelta{Base: w.Base, Version: w.Version, Hash: w.Hash, Pieces: w.Pieces}
	if w.Packed == nil {
		return nil
	}
	pieces, err := Unpack(w.Packed)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(pieces, &d.Pieces))
}
