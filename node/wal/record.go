package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
)

const (
	headerSize     = 12
	maxRecordBytes = 1 << 30 // maximum body size; also limits a snapshot
)

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	errTorn     = errors.New("wal: torn record")
	errTooLarge = errors.New("wal: record over 1 GiB")
)

// record is the body of a log record.
type record struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []consensus.Entry    `cbor:"2,keyasint,omitempty"`
	Base      *base                `cbor:"3,keyasint,omitempty"`
}

// base is the position of a snapshot. A record with a base restarts the log after that snapshot.
type base struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

func encodeRecord(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > maxRecordBytes {
		return nil, errTooLarge
	}
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], checksum(body))
	binary.LittleEndian.PutUint32(out[8:], checksum(out[:8]))
	return append(out, body...), nil
}

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// nextRecord returns the body of the first record in data and the bytes after it. errTorn means that a write
// was interrupted there: only the start of a record is left, or only zeros from some byte on.
func nextRecord(data []byte) (body, rest []byte, err error) {
	if len(data) < headerSize {
		return nil, nil, errTorn
	}
	if checksum(data[:8]) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, nil, classifyDamage(data[headerSize-1:])
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size > maxRecordBytes {
		return nil, nil, ErrCorrupt
	}
	if size > len(data)-headerSize {
		return nil, nil, errTorn
	}
	end := headerSize + size
	body, rest = data[headerSize:end], data[end:]
	if checksum(body) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, classifyDamage(data[end-1:])
	}
	return body, rest, nil
}

// classifyDamage tells a torn write from corruption: after a torn write, the last byte of the damaged part
// and all bytes after it are zero.
func classifyDamage(tail []byte) error {
	for _, x := range tail {
		if x != 0 {
			return ErrCorrupt
		}
	}
	return errTorn
}

func decodeSnapshot(data []byte) (*consensus.Snapshot, error) {
	body, rest, err := nextRecord(data)
	if err != nil || len(rest) > 0 {
		return nil, ErrCorrupt
	}
	s := &consensus.Snapshot{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, errors.Wrap(err, ErrCorrupt)
	}
	return s, nil
}

// replay applies the records of one file to st and returns the length of the valid prefix in bytes. A torn
// tail is not an error.
func replay(data []byte, st *Stored) (int, error) {
	good := 0
	for good < len(data) {
		body, rest, err := nextRecord(data[good:])
		if err == errTorn {
			return good, nil
		}
		if err != nil {
			return good, err
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return good, errors.Wrap(err, ErrCorrupt)
		}
		st.apply(r)
		good = len(data) - len(rest)
	}
	return good, nil
}
