package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Encode returns c as Apply reads it.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Trace(err)
}
