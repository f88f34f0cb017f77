package state

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// encoding gives equal states equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decoding takes whatever encoding wrote. The library's own limits (131072
// elements) are below the size of a ledger, and a text that is not UTF-8 must
// not stop a replica once it is in the log.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Image is the state at one moment. It stays as it is while the Machine goes
// on, so that it can be encoded by another goroutine.
type Image struct{ s stored }

// Capture takes an Image. It copies references, not contents.
func (m *Machine) Capture() *Image {
	s := m.s
	s.Changes = slices.Clip(s.Changes)
	s.Members = maps.Clone(s.Members)
	s.Fences = maps.Clone(s.Fences)
	s.Teams = maps.Clone(s.Teams)
	s.LedgerList = make([]*ledgerEntry, 0, len(m.ledger.entries))
	for _, e := range m.ledger.entries {
		s.LedgerList = append(s.LedgerList, e)
	}
	return &Image{s}
}

// Encode returns the bytes that Restore reads. Equal states give equal bytes.
func (i *Image) Encode() ([]byte, error) {
	slices.SortFunc(i.s.LedgerList, func(a, b *ledgerEntry) int { return compareKeys(a.Claim.ClaimKey, b.Claim.ClaimKey) })
	data, err := encoding.Marshal(i.s)
	return data, errors.Trace(err)
}

func compareKeys(a, b wire.ClaimKey) int {
	if c := strings.Compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture().Encode() }
