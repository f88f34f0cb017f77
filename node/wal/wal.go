// Package wal stores a replica's log and snapshots in one data folder. Save
// returns only when everything given to it is synced.
//
// A log file is a sequence of records, one for each Save: length, CRC-32C and
// a CBOR body. A record that was being written when the process died is cut
// off when the log is opened; a damaged record with more records behind it is
// corruption, and opening fails.
package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"caperdrum.org/node/consensus"
	"caperdrum.org/node/disk"
)

// ErrCorrupt says that stored bytes are damaged in a way that a crash cannot
// explain. The replica must be replaced, not restarted.
var ErrCorrupt = errors.New("wal: corrupt; move the data folder away and start the process with an empty one: it comes back as a new replica")

const (
	identityName = "disk-id"
	headerSize   = 8
	maxRecord    = 256 << 20
	logPrefix    = "log-"
	snapPrefix   = "snap-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the body of one stored record.
type record struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []consensus.Entry    `cbor:"2,keyasint,omitempty"`
}

// Stored is what the folder held when it was opened.
type Stored struct {
	DiskID    string // random, made with the folder
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot
	Entries   []consensus.Entry
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs      disk.FS
	file    disk.File
	name    string
	failed  error
	written int64
}

// Open reads the folder and returns the log, ready for Save.
func Open(fs disk.FS) (*Log, *Stored, error) {
	l := &Log{fs: fs}
	st := &Stored{}
	if err := l.identity(st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	names, err := fs.List()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := l.readSnapshot(names, st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := l.readLogs(names, st); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if l.file == nil {
		return l, st, errors.Trace(l.roll(1))
	}
	return l, st, nil
}

func (l *Log) identity(st *Stored) error {
	id, err := l.fs.ReadFile(identityName)
	if os.IsNotExist(errors.Cause(err)) {
		st.DiskID = uuid.NewString()
		return disk.WriteFile(l.fs, identityName, []byte(st.DiskID))
	}
	st.DiskID = string(id)
	return err
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

func decodeSnapshot(data []byte) (*consensus.Snapshot, error) {
	body, rest, err := nextRecord(data)
	if err != nil || len(rest) > 0 {
		return nil, ErrCorrupt
	}
	s := &consensus.Snapshot{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, errors.Wrap(err, ErrCorrupt)
	}
	return s, nil
}

func (l *Log) readLogs(names []string, st *Stored) error {
	var logs []string
	for _, name := range names {
		if strings.HasPrefix(name, logPrefix) {
			logs = append(logs, name)
		}
	}
	for i, name := range logs {
		data, err := l.fs.ReadFile(name)
		if err != nil {
			return errors.Trace(err)
		}
		good, err := replay(data, st)
		newest := i == len(logs)-1
		if err != nil || good < len(data) && !newest {
			return errors.Annotatef(ErrCorrupt, "%s at byte %d", name, good)
		}
		if newest {
			if err := l.continueFile(name, int64(good)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return dropCovered(st)
}

// continueFile cuts a torn tail off and opens the file for more.
func (l *Log) continueFile(name string, size int64) error {
	f, err := l.fs.Append(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	l.file, l.name, l.written = f, name, size
	return errors.Trace(f.Sync())
}

// replay applies the records of one file to st and returns how many bytes of
// it are whole records. A torn tail is not an error.
func replay(data []byte, st *Stored) (int, error) {
	good := 0
	for good < len(data) {
		body, rest, err := nextRecord(data[good:])
		if err == errTorn {
			return good, nil
		}
		if err != nil {
			return good, err
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return good, errors.Wrap(err, ErrCorrupt)
		}
		st.apply(r)
		good = len(data) - len(rest)
	}
	return good, nil
}

func (st *Stored) apply(r record) {
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

// dropCovered removes entries that the snapshot holds and checks that the rest
// follows it without a gap.
func dropCovered(st *Stored) error {
	covered := uint64(0)
	if st.Snapshot != nil {
		covered = st.Snapshot.Index
		st.HardState.Commit = max(st.HardState.Commit, covered)
	}
	k := 0
	for k < len(st.Entries) && st.Entries[k].Index <= covered {
		k++
	}
	st.Entries = st.Entries[k:]
	for i, e := range st.Entries {
		if e.Index != covered+uint64(i)+1 {
			return errors.Annotatef(ErrCorrupt, "entry %d is missing", covered+uint64(i)+1)
		}
	}
	return nil
}

var errTorn = errors.New("wal: torn record")

// nextRecord returns the body of the first record of data and what follows.
func nextRecord(data []byte) (body, rest []byte, err error) {
	if len(data) < headerSize || allZero(data) {
		return nil, nil, errTorn
	}
	size := binary.LittleEndian.Uint32(data)
	sum := binary.LittleEndian.Uint32(data[4:])
	if size > maxRecord {
		return nil, nil, ErrCorrupt
	}
	if int(size) > len(data)-headerSize {
		return nil, nil, errTorn
	}
	body, rest = data[headerSize:headerSize+int(size)], data[headerSize+int(size):]
	if crc32.Checksum(body, castagnoli) != sum {
		if len(rest) == 0 || allZero(rest) {
			return nil, nil, errTorn
		}
		return nil, nil, ErrCorrupt
	}
	return body, rest, nil
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

func encodeRecord(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// Save appends a hard state and entries and syncs them. After an error the log
// is unusable: what reached the disk is unknown.
func (l *Log) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	data, err := encodeRecord(record{HardState: hs, Entries: entries})
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
	l.failed = errors.Annotate(err, "wal: write failed")
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
	data, err := encodeRecord(s)
	if err != nil {
		return l.fail(err)
	}
	if err := disk.WriteFile(l.fs, fmt.Sprintf("%s%020d", snapPrefix, s.Index), data); err != nil {
		return l.fail(err)
	}
	if err := l.roll(s.Index + 1); err != nil {
		return l.fail(err)
	}
	if err := l.Save(&hs, after); err != nil {
		return err
	}
	return l.removeOld(s.Index)
}

// roll starts a new log file. Its number is above that of every older file.
func (l *Log) roll(first uint64) error {
	name := fmt.Sprintf("%s%020d", logPrefix, first)
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
