package wal

import (
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
)

// Stored is the content of the folder when it was opened.
type Stored struct {
	DiskID    string // random, generated when the folder was initialized
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot
	Entries   []consensus.Entry

	base base // from the newest log file that starts with a base record
}

// Open reads the folder and returns the log, ready for Save. An error that wraps ErrCorrupt names the damaged
// file.
func Open(fs disk.FS) (*Log, *Stored, error) {
	l := &Log{fs: fs}
	st := &Stored{}
	names, err := fs.List()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := l.loadDiskID(names, st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := l.readSnapshot(names, st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := l.readLogs(names, st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	interrupted, err := st.reconcile()
	if err != nil {
		return nil, nil, err
	}
	switch {
	case interrupted:
		err = l.startAfterBase(base{Index: st.Snapshot.Index, Term: st.Snapshot.Term}, st.HardState, st.Entries)
	case l.file == nil:
		err = l.rollFile(1)
	}
	return l, st, errors.Trace(err)
}

// loadDiskID reads the folder's disk ID, or generates one for a new folder. A folder that has logs or
// snapshots but no ID is not new: its replica may have voted under the lost ID.
func (l *Log) loadDiskID(names []string, st *Stored) error {
	id, err := l.fs.ReadFile(identityName)
	if os.IsNotExist(errors.Cause(err)) {
		for _, name := range names {
			if strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix) {
				return errors.Annotatef(ErrCorrupt, "%s is missing, but the folder has %s", identityName, name)
			}
		}
		st.DiskID = uuid.NewString()
		return disk.WriteFile(l.fs, identityName, []byte(st.DiskID))
	}
	if err != nil {
		return err
	}
	if _, err := uuid.ParseBytes(id); err != nil {
		return errors.Annotate(ErrCorrupt, identityName)
	}
	st.DiskID = string(id)
	return nil
}

func (l *Log) readSnapshot(names []string, st *Stored) error {
	for _, name := range names {
		if !strings.HasPrefix(name, snapPrefix) || strings.HasSuffix(name, ".tmp") {
			continue
		}
		data, err := l.fs.ReadFile(name)
		if err != nil {
			return errors.Trace(err)
		}
		s, err := decodeSnapshot(data)
		if err != nil {
			return errors.Annotate(err, name)
		}
		if st.Snapshot == nil || s.Index > st.Snapshot.Index {
			st.Snapshot = s
		}
	}
	return nil
}

func (l *Log) readLogs(names []string, st *Stored) error {
	var logs []string
	for _, name := range names {
		if strings.HasPrefix(name, logPrefix) {
			logs = append(logs, name)
		}
	}
	files := make([][]byte, len(logs))
	from := 0
	for i, name := range logs {
		data, err := l.fs.ReadFile(name)
		if err != nil {
			return errors.Trace(err)
		}
		files[i] = data
		if startsWithBase(data) {
			from = i // older files are superseded, even if they are damaged
		}
	}
	for i, name := range logs {
		if i < from {
			continue
		}
		data := files[i]
		good, err := replay(data, st)
		newest := i == len(logs)-1
		if err != nil || good < len(data) && !newest {
			return errors.Annotatef(ErrCorrupt, "%s at byte %d", name, good)
		}
		if newest {
			if err := l.openForAppend(name, int64(good)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// openForAppend truncates a torn tail and opens the file for appending.
func (l *Log) openForAppend(name string, size int64) error {
	f, err := l.fs.Append(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	l.file, l.name, l.size = f, name, size
	return errors.Trace(f.Sync())
}

func (st *Stored) apply(r record) {
	if r.Base != nil {
		st.base, st.Entries = *r.Base, nil
	}
	if r.HardState != nil {
		st.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		for k := len(st.Entries); k > 0 && st.Entries[k-1].Index >= e.Index; k-- {
			st.Entries = st.Entries[:k-1]
		}
		st.Entries = append(st.Entries, e)
	}
}

// reconcile makes snapshot, hard state and entries consistent. It reports whether a crash came between
// storing the snapshot and starting the new log file.
func (st *Stored) reconcile() (interrupted bool, err error) {
	var covered base
	if st.Snapshot != nil {
		covered = base{Index: st.Snapshot.Index, Term: st.Snapshot.Term}
	}
	if st.base.Index > covered.Index {
		return false, errors.Annotatef(ErrCorrupt, "the snapshot at %d is missing", st.base.Index)
	}
	interrupted = covered.Index > st.base.Index
	if interrupted {
		st.Entries = entriesAfter(st.Entries, covered)
	}
	for i, e := range st.Entries {
		if want := covered.Index + uint64(i) + 1; e.Index != want {
			return false, errors.Annotatef(ErrCorrupt, "entry %d is missing", want)
		}
	}
	hs := &st.HardState
	hs.Commit = max(hs.Commit, covered.Index)
	if hs.Term < covered.Term {
		hs.Term, hs.Vote = covered.Term, ""
	}
	return interrupted, nil
}

// entriesAfter returns the entries after the snapshot at b, if they belong to the same log history: the entry
// at the snapshot's index must have its term (Raft paper, section 7).
func entriesAfter(entries []consensus.Entry, b base) []consensus.Entry {
	for i, e := range entries {
		if e.Index == b.Index && e.Term == b.Term {
			return entries[i+1:]
		}
	}
	return nil
}
