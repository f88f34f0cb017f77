package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// packedCommandTag is the first byte of a compressed command. An uncompressed one starts with the head of a
// CBOR map, which is 0xa0 or above.
const packedCommandTag = 1

// Encode returns c in the form that Apply decodes. Commands of wire.MinCompressBytes bytes or more are compressed,
// since a large command delays the heartbeats queued behind it; a long text of similar routes shrinks to a
// tenth.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) < wire.MinCompressBytes {
		return data, nil
	}
	return append([]byte{packedCommandTag}, wire.Compress(data)...), nil
}

func decodeCommand(data []byte) (c Command, err error) {
	if len(data) > 0 && data[0] == packedCommandTag {
		if data, err = wire.Decompress(data[1:]); err != nil {
			return c, errors.Annotate(err, "state: command")
		}
	}
	return c, errors.Annotate(decMode.Unmarshal(data, &c), "state: command")
}
