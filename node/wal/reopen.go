package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"caperdrum.org/node/disk"
)

// Reopen opens the folder again after a write or sync has failed, and writes all
// that it goes on with to a new log file. What is read after a failed sync may
// come from memory and not be on the disk, so nothing of the old file is relied
// on once the new one is synced. It fails while the disk takes no bytes, and may
// be tried again.
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

// rewrite goes on in a new log file that begins with everything stored.
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
	if err := l.roll(number + 1); err != nil {
		return err
	}
	if err := l.write(record{Base: &b, HardState: &st.HardState, Entries: st.Entries}); err != nil {
		if l.name != old {
			l.fs.Remove(l.name) // else each try leaves a file behind; what is left is torn, and cut off
		}
		return err
	}
	return l.removeOld(b.Index)
}

// beginsAnew reports whether a log file's first record replaces all older files.
func beginsAnew(data []byte) bool {
	body, _, err := nextRecord(data)
	if err != nil {
		return false
	}
	var r record
	return cbor.Unmarshal(body, &r) == nil && r.Base != nil
}

// logName is the name of the log file with that number.
func logName(number uint64) string { return fmt.Sprintf("%s%020d", logPrefix, number) }
