package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// packedCommand is the first byte of a packed command. An encoded Command that is not
// packed begins with the head of a CBOR map, 0xa0 or above.
const packedCommand = 1

// Encode returns c as Apply reads it. Long commands are packed: what the leader sends to
// its followers keeps heartbeats waiting, and a large text of alike routes shrinks to a
// tenth.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) < wire.MinCompressBytes {
		return data, nil
	}
	return append([]byte{packedCommand}, wire.Compress(data)...), nil
}

func decodeCommand(data []byte) (c Command, err error) {
	if len(data) > 0 && data[0] == packedCommand {
		if data, err = wire.Decompress(data[1:]); err != nil {
			return c, errors.Annotate(err, "state: command")
		}
	}
	return c, errors.Annotate(decoding.Unmarshal(data, &c), "state: command")
}
