package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
)

// TestDamagedLengthIsNoTornTail flips every bit of the length of each record but the last. A length that then
// exceeds the file looks like a torn write, but synced records follow it: truncating there would lose them.
func TestDamagedLengthIsNoTornTail(t *testing.T) {
	records := [][]consensus.Entry{
		{{Index: 1, Term: 1, Data: []byte("a")}}, {{Index: 2, Term: 1, Data: []byte("bcd")}}, {{Index: 3, Term: 1, Data: []byte("e")}}}
	dir := t.TempDir()
	fs, err := disk.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	var starts []int64
	for _, r := range records {
		starts = append(starts, log.Size())
		if err := log.Save(nil, r); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, log.name)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, start := range starts[:len(starts)-1] {
		for bit := range 32 {
			t.Run(fmt.Sprintf("record at %d, bit %d", start, bit), func(t *testing.T) {
				damaged := append([]byte(nil), whole...)
				damaged[start+int64(bit/8)] ^= 1 << (bit % 8)
				if err := os.WriteFile(path, damaged, 0o600); err != nil {
					t.Fatal(err)
				}
				if l, _, err := Open(fs); errors.Cause(err) != ErrCorrupt {
					t.Errorf("opened with %v", err)
					if l != nil {
						l.Close()
					}
				}
			})
		}
	}
}
