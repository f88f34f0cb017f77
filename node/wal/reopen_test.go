package wal_test

import (
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/wal"
)

// TestReopenKeepsWhatWasSaved fills the disk at any moment, reopens the folder once there is room, and
// injects crashes. Each time the acknowledged entries must be there in order, and what was read at one open
// must stay.
func TestReopenKeepsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := disktest.New(rapid.Uint64().Draw(t, "seed"))
		l, st, err := wal.Open(fs)
		if err != nil {
			t.Fatal(err)
		}
		acked, term := uint64(0), uint64(1) // last acknowledged entry
		check := func(st *wal.Stored, when string) {
			n := uint64(len(st.Entries))
			if n < acked || n > acked+1 {
				t.Fatalf("%s: %d entries, %d acknowledged", when, n, acked)
			}
			for i, e := range st.Entries {
				if e.Index != uint64(i)+1 {
					t.Fatalf("%s: entry %d at %d", when, e.Index, i)
				}
			}
			acked = n // entries found by an open must survive from now on
		}
		check(st, "new")
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"save", "save", "save", "fill", "crash"}).Draw(t, "step") {
			case "save":
				if l.Save(&consensus.HardState{Term: term}, []consensus.Entry{entry(acked+1, term)}) == nil {
					acked++
				}
			case "fill":
				fs.SetFreeBytes(rapid.IntRange(0, 60).Draw(t, "bytes"))
				if l.Save(&consensus.HardState{Term: term}, []consensus.Entry{entry(acked+1, term)}) == nil {
					acked++
				}
				fs.SetFreeBytes(rapid.IntRange(0, 20).Draw(t, "bytes left"))
				if _, _, err := wal.Reopen(fs); err == nil {
					t.Fatal("opened on a full disk")
				}
				fs.SetFreeBytes(-1)
				l.Close()
				if l, st, err = wal.Reopen(fs); err != nil {
					t.Fatal(err)
				}
				check(st, "reopened")
			case "crash":
				fs.Crash()
				if l, st, err = wal.Open(fs); err != nil {
					t.Fatal(err)
				}
				check(st, "after a crash")
			}
		}
	})
}

// TestDamageInAReplacedFileIsIgnored damages the file in which a sync failed, after the folder was
// reopened: a crash may bring back the removed file.
func TestDamageInAReplacedFileIsIgnored(t *testing.T) {
	fs, l, _ := newLogWithEntries(t)
	fs.SetFreeBytes(5)
	if l.Save(hardState(1), []consensus.Entry{entry(4, 1)}) == nil {
		t.Fatal("saved on a full disk")
	}
	fs.SetFreeBytes(-1)
	if _, _, err := wal.Reopen(fs); err != nil {
		t.Fatal(err)
	}
	old, err := fs.Create(firstLog) // as if its removal had been undone
	if err != nil {
		t.Fatal(err)
	}
	old.Write([]byte("what the disk made of it"))
	old.Sync()
	fs.SyncDir()
	if _, st := reopen(t, fs); len(st.Entries) != 3 {
		t.Fatalf("%d entries", len(st.Entries))
	}
}
