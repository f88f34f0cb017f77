// Package wal stores a replica's log and snapshots in one data folder. Save returns only after everything
// given to it is synced.
//
// A log file is a sequence of records, one per Save. A record consists of the length of the body, the CRC-32C
// of the body, the CRC-32C of these two fields, and the body in CBOR. A record whose write was interrupted is
// shorter than its length or ends in zeros; Open truncates it. Any other damage is corruption and makes Open
// fail.
package wal

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
)

// ErrCorrupt means that stored bytes are damaged in a way that a crash cannot explain. The replica must be
// replaced, not restarted.
var ErrCorrupt = errors.New("wal: corrupt; move the data folder away and start the process with an empty one: it will join as a new replica")

const (
	identityName = "disk-id"
	logPrefix    = "log-"
	snapPrefix   = "snap-"
)

// Log is an open log. It is not safe for concurrent use, except for WriteSnapshot.
type Log struct {
	fs     disk.FS
	file   disk.File
	name   string
	failed error
	size   int64
}

// Save appends a hard state and entries and syncs them. After an error the log is unusable, since it is
// unknown what reached the disk.
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
	l.size += int64(len(data))
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = errors.Annotate(err, "wal: write failed; free space or replace the disk, then start the process again")
	return l.failed
}

// Size returns the size of the current log file in bytes.
func (l *Log) Size() int64 { return l.size }

// SaveSnapshot stores s durably, starts a new log file with hs and the entries after s, and removes the files
// that they supersede.
func (l *Log) SaveSnapshot(s *consensus.Snapshot, hs consensus.HardState, after []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail(err)
	}
	return l.StartAfter(s, hs, after)
}

// WriteSnapshot stores s durably in a separate file and leaves the log unchanged. It may run concurrently
// with Save, but not with another snapshot. s must cover entries that are in the log, so that Open keeps the
// entries after it.
func (l *Log) WriteSnapshot(s *consensus.Snapshot) error {
	data, err := encodeRecord(s)
	if err != nil {
		return err
	}
	return disk.WriteFile(l.fs, fmt.Sprintf("%s%020d", snapPrefix, s.Index), data)
}

// StartAfter starts a new log file after the stored snapshot s. The file begins with hs and all entries after
// s; superseded files are removed.
func (l *Log) StartAfter(s *consensus.Snapshot, hs consensus.HardState, after []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.startAfterBase(base{Index: s.Index, Term: s.Term}, hs, after); err != nil {
		return err
	}
	return l.removeObsolete(s.Index)
}

// startAfterBase starts a new log file after the snapshot at b. Its first record holds b and supersedes all
// older files, even if a crash undoes their removal.
func (l *Log) startAfterBase(b base, hs consensus.HardState, after []consensus.Entry) error {
	if err := l.rollFile(b.Index + 1); err != nil {
		return l.fail(err)
	}
	return l.write(record{Base: &b, HardState: &hs, Entries: after})
}

// rollFile starts a new log file, numbered above all older ones.
func (l *Log) rollFile(first uint64) error {
	name := logName(first)
	if l.name >= name {
		return nil // a snapshot at the same index: continue in the same file
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
	l.file, l.name, l.size = f, name, 0
	return nil
}

// removeObsolete deletes the files that the snapshot at index and the current log file supersede. The removal
// need not be durable, since old files are harmless.
func (l *Log) removeObsolete(index uint64) error {
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
