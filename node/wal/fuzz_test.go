package wal

import (
	"bytes"
	"encoding/binary"
	"testing"

	"caperdrum.org/node/consensus"
)

func sampleLog() []byte {
	var out []byte
	for i := uint64(1); i <= 3; i++ {
		data, _ := encodeRecord(record{HardState: &consensus.HardState{Term: i, Vote: "a", Commit: i - 1},
			Entries: []consensus.Entry{{Index: i, Term: i, Data: bytes.Repeat([]byte{byte(i)}, int(i))}}})
		out = append(out, data...)
	}
	return out
}

// FuzzReplay passes arbitrary bytes to the log decoder: it must not panic, and must accept only records with
// valid checksums.
func FuzzReplay(f *testing.F) {
	f.Add(sampleLog())
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		st := &Stored{}
		good, err := replay(data, st)
		if good > len(data) {
			t.Fatalf("%d of %d bytes", good, len(data))
		}
		again := &Stored{}
		if n, _ := replay(data[:good], again); n != good || len(again.Entries) != len(st.Entries) {
			t.Fatalf("the accepted prefix reads back as %d bytes, not %d (%v)", n, good, err)
		}
		st.reconcile()
	})
}

// FuzzDamage overwrites bytes of a valid log. No damaged record may be accepted, and only damage at the end
// may pass as a torn tail.
func FuzzDamage(f *testing.F) {
	f.Add(uint(0), []byte{0xff})
	f.Add(uint(60), []byte{0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, at uint, with []byte) {
		whole := sampleLog()
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
			t.Fatalf("damage at %d of %d was treated as a torn tail", changed, len(data))
		}
	})
}

// FuzzSnapshot passes arbitrary bytes to the snapshot decoder, also after a valid header.
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
			t.Fatalf("snapshot %v and error %v", s, err)
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
