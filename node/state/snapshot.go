package state

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// encMode is deterministic: equal states have equal encodings.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decMode accepts everything that encMode writes. The library's default limit of 131072 elements is below the
// size of a ledger, and a text that is not valid UTF-8 must not stop a replica once it is in the log.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Image is a point-in-time copy of the state. It does not change while the Machine applies further commands,
// so another goroutine can encode it.
type Image struct {
	s      stored
	ledger []*ledgerEntry
}

// Capture returns an Image of the current state. It copies references and maps, not their contents.
func (m *Machine) Capture() *Image {
	s := m.s
	s.Changes = slices.Clip(s.Changes)
	s.Members = maps.Clone(s.Members)
	s.Fences = maps.Clone(s.Fences)
	s.Teams = maps.Clone(s.Teams)
	s.Quarantine = s.Quarantine.Clone()
	list := make([]*ledgerEntry, 0, len(m.ledger.entries))
	for _, e := range m.ledger.entries {
		list = append(list, e)
	}
	return &Image{s, list}
}

// Encode returns the snapshot that Restore reads: a CBOR sequence (RFC 8742) of the state without the ledger,
// followed by the parts of the ledger. Equal states have equal encodings.
func (i *Image) Encode() ([]byte, error) {
	slices.SortFunc(i.ledger, func(a, b *ledgerEntry) int { return compareKeys(a.Claim.ClaimKey, b.Claim.ClaimKey) })
	parts, err := encodeLedger(i.ledger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := i.s
	s.Ledger = len(parts)
	s.packText()
	head, err := encMode.Marshal(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return bytes.Join(append([][]byte{head}, parts...), nil), nil
}

func (s *stored) packText() {
	if len(s.Text) >= wire.MinCompressBytes {
		s.PackedText, s.Text = wire.Compress([]byte(s.Text)), ""
	}
}

func (s *stored) unpackText() error {
	if s.PackedText == nil {
		return nil
	}
	text, err := wire.Decompress(s.PackedText)
	s.Text, s.PackedText = string(text), nil
	return err
}

// The ledger is the largest part of a snapshot. It is encoded and decoded in parts of ledgerPartEntries
// entries by up to codecWorkers goroutines, because a restart waits for it.
const (
	ledgerPartEntries = 4096
	codecWorkers      = 4
)

func encodeLedger(list []*ledgerEntry) ([][]byte, error) {
	chunks := slices.Collect(slices.Chunk(list, ledgerPartEntries))
	parts := make([][]byte, len(chunks))
	err := parallel(len(chunks), func(k int) (err error) {
		parts[k], err = encMode.Marshal(chunks[k])
		return err
	})
	return parts, err
}

func decodeLedger(data []byte, n int) ([]*ledgerEntry, error) {
	var parts []cbor.RawMessage
	for len(data) > 0 {
		var part cbor.RawMessage
		rest, err := decMode.UnmarshalFirst(data, &part)
		if err != nil {
			return nil, errors.Trace(err)
		}
		parts, data = append(parts, part), rest
	}
	if len(parts) != n {
		return nil, errors.Errorf("%d parts of the ledger, want %d", len(parts), n)
	}
	chunks := make([][]*ledgerEntry, n)
	err := parallel(n, func(k int) error { return decMode.Unmarshal(parts[k], &chunks[k]) })
	list := slices.Concat(chunks...)
	if err == nil && slices.Contains(list, nil) {
		err = errors.New("empty entry in the ledger")
	}
	return list, err
}

// parallel calls f for 0 to n-1 and returns the error with the lowest index.
func parallel(n int, f func(int) error) error {
	errs := make([]error, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(n, codecWorkers) {
		wg.Go(func() {
			for k := int(next.Add(1)) - 1; k < n; k = int(next.Add(1)) - 1 {
				errs[k] = f(k)
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func compareKeys(a, b wire.ClaimKey) int {
	if c := strings.Compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// Snapshot encodes the complete state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture().Encode() }
