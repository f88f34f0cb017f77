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
	// MinCompressBytes is the size in bytes from which on texts are compressed. Shorter texts fit
	// into a few packets uncompressed.
	MinCompressBytes = 4 << 10
	// maxDecompressedBytes bounds the size of a decompressed text: eight times the text
	// of 24,000 requests/s over 100,000 customers (docs/CAPACITY.md).
	maxDecompressedBytes = 64 << 20
)

// ErrDecompress means that compressed data is damaged or decompresses to too much.
const ErrDecompress = errors.ConstError("wire: a packed text cannot be read")

// flateWriters are pooled because a writer holds some 600 kB of tables.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	return w
}}

// Compress compresses data with DEFLATE (RFC 1951). It shrinks a text of 4,200 similar routes from
// 790 kB to some 60 kB in 5 ms; sending it uncompressed at 10 Mbit/s would take 630 ms.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	w.Write(data) // a bytes.Buffer returns no error
	w.Close()
	return b.Bytes()
}

// Decompress decompresses the output of Compress. An error is of type ErrDecompress.
func Decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrDecompress)
	}
	if len(data) > maxDecompressedBytes {
		return nil, errors.Annotatef(ErrDecompress, "more than %d bytes", maxDecompressedBytes)
	}
	return data, nil
}

// compressibleText is the wire format of a text, compressed from MinCompressBytes on.
type compressibleText struct {
	Text       string `json:"text,omitempty"`
	Compressed []byte `json:"packed,omitempty"`
}

func newCompressibleText(text string) compressibleText {
	if len(text) < MinCompressBytes {
		return compressibleText{Text: text}
	}
	return compressibleText{Compressed: Compress([]byte(text))}
}

func (l compressibleText) decode() (string, error) {
	if l.Compressed == nil {
		return l.Text, nil
	}
	data, err := Decompress(l.Compressed)
	return string(data), err
}

type configTextWire struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
	compressibleText
}

// MarshalJSON implements json.Marshaler.
func (c ConfigText) MarshalJSON() ([]byte, error) {
	if c.Hash == 0 || len(c.Text) < MinCompressBytes {
		return c.encode()
	}
	l := &encodedTextCache
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
	return json.Marshal(configTextWire{c.Version, c.Hash, newCompressibleText(c.Text)})
}

// encodedTextCache holds the latest encoded text. When many processes start, all fetch the same one.
var encodedTextCache struct {
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
	text, err := w.decode()
	*c = ConfigText{Version: w.Version, Text: text, Hash: w.Hash}
	return err
}

type putRequestWire struct {
	Version uint64 `json:"version"`
	compressibleText
}

// MarshalJSON implements json.Marshaler.
func (p PutRequest) MarshalJSON() ([]byte, error) {
	return json.Marshal(putRequestWire{p.Version, newCompressibleText(p.Text)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *PutRequest) UnmarshalJSON(data []byte) error {
	var w putRequestWire
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Trace(err)
	}
	text, err := w.decode()
	*p = PutRequest{Version: w.Version, Text: text}
	return err
}

type configDeltaWire struct {
	Base       uint64      `json:"base"`
	Version    uint64      `json:"version"`
	Hash       uint64      `json:"hash"`
	Pieces     []TextPiece `json:"pieces,omitempty"`
	Compressed []byte      `json:"packed,omitempty"` // Pieces as JSON, compressed, if it has MinCompressBytes or more
}

// MarshalJSON implements json.Marshaler.
func (d ConfigDelta) MarshalJSON() ([]byte, error) {
	w := configDeltaWire{Base: d.Base, Version: d.Version, Hash: d.Hash, Pieces: d.Pieces}
	pieces, err := json.Marshal(d.Pieces)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(pieces) >= MinCompressBytes {
		w.Pieces, w.Compressed = nil, Compress(pieces)
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
	if w.Compressed == nil {
		return nil
	}
	pieces, err := Decompress(w.Compressed)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(pieces, &d.Pieces))
}
