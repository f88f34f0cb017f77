package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/node/disk"
)

// Reopen opens the folder again after a failed write or sync, and writes the current state to a new log file.
// Data read after a failed sync may come from the page cache and not be on the disk, so nothing in the old
// file is relied on once the new one is synced. It fails while the disk accepts no writes, and may be
// retried.
func Reopen(fs disk.FS) (*Log, *Stored, error) {
	l, st, err := Open(fs)
	if err != nil {
		return nil, nil, err
	}
	if err := l.rewrite(st); err != nil {
		l.Close()
		return nil, nil, errors.Trace(err)
	}
	return l, st, nil
}

// rewrite continues in a new log file that starts with everything stored.
func (l *Log) rewrite(st *Stored) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(l.name, logPrefix), 10, 64)
	if err != nil {
		return errors.Annotate(ErrCorrupt, l.name)
	}
	var b base
	if st.Snapshot != nil {
		b = base{Index: st.Snapshot.Index, Term: st.Snapshot.Term}
	}
	old := l.name
	if err := l.rollFile(number + 1); err != nil {
		return err
	}
	if err := l.write(record{Base: &b, HardState: &st.HardState, Entries: st.Entries}); err != nil {
		if l.name != old {
			l.fs.Remove(l.name) // or each retry leaves a file behind; a torn one left by a failed removal is truncated by Open
		}
		return err
	}
	return l.removeObsolete(b.Index)
}

// startsWithBase reports whether the first record of a log file supersedes all older files.
func startsWithBase(data []byte) bool {
	body, _, err := nextRecord(data)
	if err != nil {
		return false
	}
	var r record
	return cbor.Unmarshal(body, &r) == nil && r.Base != nil
}

// logName returns the name of the log file with the given number.
func logName(number uint64) string { return fmt.Sprintf("%s%020d", logPrefix, number) }
