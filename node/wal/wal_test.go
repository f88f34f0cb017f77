package wal_test

import (
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk/disktest"
	"caperdrum.org/node/wal"
)

const firstLog = "log-00000000000000000001"

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: []byte("command")}
}

func hardState(term uint64) *consensus.HardState { return &consensus.HardState{Term: term} }

// newLogWithEntries returns a log with entries 1 to 3, one per record, and the file size after each.
func newLogWithEntries(t *testing.T) (*disktest.FS, *wal.Log, []int64) {
	t.Helper()
	fs := disktest.New(1)
	l, _, err := wal.Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	var sizes []int64
	for i := uint64(1); i <= 3; i++ {
		if err := l.Save(hardState(1), []consensus.Entry{entry(i, 1)}); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, l.Size())
	}
	return fs, l, sizes
}

func reopen(t *testing.T, fs *disktest.FS) (*wal.Log, *wal.Stored) {
	t.Helper()
	fs.Crash()
	l, st, err := wal.Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	return l, st
}

func TestTornTailIsCut(t *testing.T) {
	for cut := int64(1); ; cut++ {
		fs, _, sizes := newLogWithEntries(t)
		if cut >= sizes[2]-sizes[1] {
			return
		}
		f, _ := fs.Append(firstLog)
		f.Truncate(sizes[2] - cut)
		f.Sync()
		l, st := reopen(t, fs)
		if len(st.Entries) != 2 || l.Size() != sizes[1] {
			t.Fatalf("%d bytes lost: %d entries, %d bytes", cut, len(st.Entries), l.Size())
		}
		if err := l.Save(nil, []consensus.Entry{entry(3, 2)}); err != nil {
			t.Fatal(err)
		}
		if _, st = reopen(t, fs); len(st.Entries) != 3 || st.Entries[2].Term != 2 {
			t.Fatalf("after a new record: %+v", st.Entries)
		}
	}
}

// A flipped bit anywhere, including in lengths, must make Open fail with the place and the remedy. This
// includes the last synced record, which may be acknowledged.
func TestDamageIsCorrupt(t *testing.T) {
	_, _, sizes := newLogWithEntries(t)
	for at := range int(sizes[2]) {
		fs, _, _ := newLogWithEntries(t)
		fs.FlipBit(firstLog, at)
		_, _, err := wal.Open(fs)
		if errors.Cause(err) != wal.ErrCorrupt {
			t.Fatalf("byte %d: %v", at, err)
		}
		if msg := err.Error(); !strings.Contains(msg, firstLog) || !strings.Contains(msg, "move the data folder away") {
			t.Fatalf("the message does not name the file or the remedy: %s", msg)
		}
	}
}

func TestDamagedSnapshotIsCorrupt(t *testing.T) {
	fs, l, _ := newLogWithEntries(t)
	snap := &consensus.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	if err := l.SaveSnapshot(snap, *hardState(1), nil); err != nil {
		t.Fatal(err)
	}
	fs.FlipBit("snap-00000000000000000003", 20)
	if _, _, err := wal.Open(fs); errors.Cause(err) != wal.ErrCorrupt {
		t.Fatal(err)
	}
	fs.Remove("snap-00000000000000000003")
	if _, _, err := wal.Open(fs); errors.Cause(err) != wal.ErrCorrupt {
		t.Fatalf("missing snapshot: %v", err)
	}
}

func TestLostIdentityIsCorrupt(t *testing.T) {
	fs, _, _ := newLogWithEntries(t)
	fs.Remove("disk-id")
	if _, _, err := wal.Open(fs); errors.Cause(err) != wal.ErrCorrupt {
		t.Fatal(err)
	}
}

// After a crash at any operation of the first Open, the folder opens again with the same identity, or with a
// new one if the first was never returned.
func TestCrashInFirstOpen(t *testing.T) {
	for ops := 0; ; ops++ {
		fs := disktest.New(uint64(ops))
		fs.CrashAfter(ops)
		_, seen, err := wal.Open(fs)
		_, st := reopen(t, fs)
		if err == nil {
			if st.DiskID != seen.DiskID {
				t.Fatal("the identity changed")
			}
			return
		}
	}
}

// After a failed write the log accepts nothing any more, even if there is room again: it is unknown what
// reached the disk.
func TestWriteErrorIsFinal(t *testing.T) {
	for name, breakDisk := range map[string]func(*disktest.FS){
		"full":        func(fs *disktest.FS) { fs.SetFreeBytes(10) },
		"sync failed": func(fs *disktest.FS) { fs.FailSyncs() },
	} {
		fs, l, _ := newLogWithEntries(t)
		breakDisk(fs)
		if l.Save(nil, []consensus.Entry{entry(4, 1)}) == nil {
			t.Fatalf("%s: saved", name)
		}
		fs.SetFreeBytes(-1)
		if err := l.Save(nil, []consensus.Entry{entry(4, 1)}); err == nil {
			t.Fatalf("%s: accepted after the failure", name)
		}
		if _, st := reopen(t, fs); len(st.Entries) < 3 || st.Entries[2].Index != 3 {
			t.Fatalf("%s: lost synced entries: %+v", name, st.Entries)
		}
	}
}

func TestFullDiskIsNamed(t *testing.T) {
	fs, l, _ := newLogWithEntries(t)
	fs.SetFreeBytes(0)
	if err := l.Save(hardState(2), nil); errors.Cause(err) != syscall.ENOSPC {
		t.Fatal(err)
	}
}

// A received snapshot replaces a log of another history, at whatever operation the disk crashes: entries
// after its index stay only if they belong to its history, and what is saved afterwards stays.
func TestCrashInSaveSnapshot(t *testing.T) {
	for _, same := range []bool{false, true} {
		for ops := 0; ; ops++ {
			fs, l, _ := newLogWithEntries(t)
			snap := &consensus.Snapshot{Index: 2, Term: 7}
			var after []consensus.Entry
			if same {
				snap.Term, after = 1, []consensus.Entry{entry(3, 1)}
			}
			fs.CrashAfter(ops)
			saved := l.SaveSnapshot(snap, *hardState(7), after) == nil
			l, st := reopen(t, fs)
			switch {
			case st.Snapshot == nil && (saved || len(st.Entries) != 3):
				t.Fatalf("%d operations: entries lost: %+v", ops, st)
			case st.Snapshot != nil && (len(st.Entries) == 1) != same:
				t.Fatalf("%d operations: %+v after a snapshot of term %d", ops, st.Entries, snap.Term)
			case st.Snapshot != nil && st.HardState.Term < snap.Term:
				t.Fatalf("%d operations: term %d below the snapshot's", ops, st.HardState.Term)
			}
			next := entry(uint64(4), 8)
			if st.Snapshot != nil && !same {
				next.Index = 3
			}
			if err := l.Save(hardState(8), []consensus.Entry{next}); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				_, st = reopen(t, fs)
				if k := len(st.Entries); k == 0 || st.Entries[k-1].Term != 8 {
					t.Fatalf("%d operations: the entry saved after the crash is lost: %+v", ops, st.Entries)
				}
			}
			if saved {
				break
			}
		}
	}
}
