// Package wal stores a replica's log and snapshots in one data folder. Save
// returns only when everything given to it is synced.
//
// A log file is a sequence of records, one for each Save: length, CRC-32C of
// the body, CRC-32C of these two, and a CBOR body. A record that was being
// written when the process died is shorter than it says or ends in zeros; it
// is cut off when the log is opened. Any other damage is corruption, and
// opening fails.
package wal

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
)

// ErrCorrupt says that stored bytes are damaged in a way that a crash cannot
// explain. The replica must be replaced, not restarted.
var ErrCorrupt = errors.New("wal: corrupt; move the data folder away and start the process with an empty one: it comes back as a new replica")

const (
	identityName = "disk-id"
	logPrefix    = "log-"
	snapPrefix   = "snap-"
)

// Log is an open log. It is not safe for concurrent use, but for WriteSnapshot.
type Log struct {
	fs      disk.FS
	file    disk.File
	name    string
	failed  error
	written int64
}

// Save appends a hard state and entries and syncs them. After an error the log
// is unusable: what reached the disk is unknown.
func (l *Log) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if hs == nil && len(entries) == 0 {
		return l.failed
	}
	return l.write(record{HardState: hs, Entries: entries})
}

func (l *Log) write(r record) error {
	if l.failed != nil {
		return l.failed
	}
	data, err := encodeRecord(r)
	if err != nil {
		return l.fail(err)
	}
	if _, err := l.file.Write(data); err != nil {
		return l.fail(err)
	}
	l.written += int64(len(data))
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = errors.Annotate(err, "wal: write failed; free space or replace the disk, then start the process again")
	return l.failed
}

// Size returns the bytes in the current log file.
func (l *Log) Size() int64 { return l.written }

// SaveSnapshot stores s durably, starts a new log file that begins with hs and
// the entries after s, and removes the files it replaces.
func (l *Log) SaveSnapshot(s *consensus.Snapshot, hs consensus.HardState, after []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail(err)
	}
	return l.StartAfter(s, hs, after)
}

// WriteSnapshot stores s durably in a file of its own and leaves the log as it
// is. It may run beside Save, but not beside another snapshot. s must be made
// of entries that are in the log: Open then keeps those that follow them.
func (l *Log) WriteSnapshot(s *consensus.Snapshot) error {
	data, err := encodeRecord(s)
	if err != nil {
		return err
	}
	return disk.WriteFile(l.fs, fmt.Sprintf("%s%020d", snapPrefix, s.Index), data)
}

// StartAfter starts a new log file behind the stored snapshot s. The file
// begins with hs and all entries after s; the files it replaces are removed.
func (l *Log) StartAfter(s *consensus.Snapshot, hs consensus.HardState, after []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.restart(base{Index: s.Index, Term: s.Term}, hs, after); err != nil {
		return err
	}
	return l.removeOld(s.Index)
}

// restart makes the log begin anew after the snapshot at b. The first record
// of the new file says so: whatever older files hold no longer counts, also
// when their removal is undone by a crash.
func (l *Log) restart(b base, hs consensus.HardState, after []consensus.Entry) error {
	if err := l.roll(b.Index + 1); err != nil {
		return l.fail(err)
	}
	return l.write(record{Base: &b, HardState: &hs, Entries: after})
}

// roll starts a new log file. Its number is above that of every older file.
func (l *Log) roll(first uint64) error {
	name := logName(first)
	if l.name >= name {
		return nil // a snapshot at the same index: go on in the same file
	}
	f, err := l.fs.Create(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.Trace(err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.name, l.written = f, name, 0
	return nil
}

// removeOld deletes what the snapshot at index and the current log file
// replace. Removal need not be durable: old files are harmless.
func (l *Log) removeOld(index uint64) error {
	names, err := l.fs.List()
	if err != nil {
		return l.fail(err)
	}
	keep := fmt.Sprintf("%s%020d", snapPrefix, index)
	for _, name := range names {
		oldSnap := strings.HasPrefix(name, snapPrefix) && name != keep
		oldLog := strings.HasPrefix(name, logPrefix) && name != l.name
		if !oldSnap && !oldLog {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

// Close closes the log file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
