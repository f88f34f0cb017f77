package wal

import (
	"bytes"
	"encoding/binary"
	"testing"

	"caperdrum.org/node/consensus"
)

func sample() []byte {
	var out []byte
	for i := uint64(1); i <= 3; i++ {
		data, _ := encodeRecord(record{HardState: &consensus.HardState{Term: i, Vote: "a", Commit: i - 1},
			Entries: []consensus.Entry{{Index: i, Term: i, Data: bytes.Repeat([]byte{byte(i)}, int(i))}}})
		out = append(out, data...)
	}
	return out
}

// FuzzReplay feeds bytes to the log decoder: it must not panic, and what it
// accepts must be records with true checksums.
func FuzzReplay(f *testing.F) {
	f.Add(sample())
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		st := &Stored{}
		good, err := replay(data, st)
		if good > len(data) {
			t.Fatalf("%d of %d bytes", good, len(data))
		}
		again := &Stored{}
		if n, _ := replay(data[:good], again); n != good || len(again.Entries) != len(st.Entries) {
			t.Fatalf("the accepted part reads back as %d bytes, not %d (%v)", n, good, err)
		}
		st.reconcile()
	})
}

// FuzzDamage changes bytes of a good log. Nothing damaged is accepted, and a
// cut shows only at the damage.
func FuzzDamage(f *testing.F) {
	f.Add(uint(0), []byte{0xff})
	f.Add(uint(60), []byte{0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, at uint, with []byte) {
		whole := sample()
		data := bytes.Clone(whole)
		start := int(at % uint(len(data)))
		copy(data[start:], with)
		changed := 0
		for changed < len(data) && data[changed] == whole[changed] {
			changed++
		}
		good, err := replay(data, &Stored{})
		if good > changed {
			t.Fatalf("damage at %d was accepted up to %d", changed, good)
		}
		if err == nil && changed < len(data) && len(bytes.TrimRight(data[changed:], "\x00")) > len(whole)/3 {
			t.Fatalf("damage at %d of %d was taken for a torn tail", changed, len(data))
		}
	})
}

// FuzzSnapshot feeds bytes to the snapshot decoder, also behind a true header.
func FuzzSnapshot(f *testing.F) {
	good, _ := encodeRecord(consensus.Snapshot{Index: 3, Term: 2, Data: []byte("state")})
	f.Add(good, false)
	f.Add([]byte{0xa0}, true)
	f.Fuzz(func(t *testing.T, data []byte, wrap bool) {
		if wrap {
			data = append(headerOf(data), data...)
		}
		s, err := decodeSnapshot(data)
		if (s == nil) == (err == nil) {
			t.Fatalf("%v and %v", s, err)
		}
		if err == nil && len(data) > 0 {
			data[len(data)/2] ^= 1
			if _, err := decodeSnapshot(data); err == nil {
				t.Fatal("a damaged snapshot was accepted")
			}
		}
	})
}

func headerOf(body []byte) []byte {
	out := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], checksum(body))
	binary.LittleEndian.PutUint32(out[8:], checksum(out[:8]))
	return out
}
