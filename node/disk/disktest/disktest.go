// Package disktest is an in-memory disk.FS that loses unsynced data, for crash tests. It models a POSIX file
// system: a crash may keep any prefix of the bytes written since the last Sync, may replace them by zeros,
// and may keep any prefix of the name changes since the last SyncDir.
package disktest

import (
	"bytes"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"

	"caperdrum.org/node/disk"
)

// ErrCrashed is returned by every operation from the planned crash on.
var ErrCrashed = errors.New("disktest: crashed")

type inode struct {
	data   []byte // content that a reader sees
	synced []byte // content that survives a crash
}

type nameChange struct {
	name string
	node *inode // nil if the name is removed
}

// FS implements disk.FS. Only SetFreeBytes is safe for concurrent use.
type FS struct {
	live    map[string]*inode
	durable map[string]*inode
	pending []nameChange // name changes since the last SyncDir, in order
	epoch   int          // number of crashes; file handles from before a crash are invalid

	opsLeft   int          // operations until the planned crash; negative for none
	freeBytes atomic.Int64 // bytes until the disk is full; negative for no limit
	rand      *rand.Rand
	syncFail  bool
}

// New returns an empty file system. The seed determines what a crash keeps.
func New(seed uint64) *FS {
	fs := &FS{live: map[string]*inode{}, durable: map[string]*inode{}, opsLeft: -1, rand: rand.New(rand.NewPCG(seed, 1))}
	fs.freeBytes.Store(-1)
	return fs
}

// CrashAfter lets ops more operations succeed. The next one fails and may take partial effect; all operations
// after it fail too, until Crash is called.
func (fs *FS) CrashAfter(ops int) { fs.opsLeft = ops }

// SetFreeBytes makes writes fail with ENOSPC after n more bytes; a negative n removes the limit. It may be
// called concurrently with other operations.
func (fs *FS) SetFreeBytes(n int) { fs.freeBytes.Store(int64(n)) }

// FailSyncs makes every Sync of a file fail with EIO, until Crash is called.
func (fs *FS) FailSyncs() { fs.syncFail = true }

// Crash discards unsynced data and makes the file system usable again.
func (fs *FS) Crash() {
	fs.epoch++
	fs.opsLeft, fs.syncFail = -1, false
	fs.freeBytes.Store(-1)
	for _, r := range fs.pending[:fs.rand.IntN(len(fs.pending)+1)] {
		setName(fs.durable, r)
	}
	fs.pending = nil
	fs.live = map[string]*inode{}
	for _, name := range sortedNames(fs.durable) {
		n := fs.durable[name]
		n.data = fs.dataAfterCrash(n)
		n.synced = slices.Clone(n.data)
		fs.live[name] = n
	}
}

func (fs *FS) dataAfterCrash(n *inode) []byte {
	tail, extends := bytes.CutPrefix(n.data, n.synced)
	if !extends {
		return slices.Clone(n.synced)
	}
	kept := slices.Clone(tail[:fs.rand.IntN(len(tail)+1)])
	if len(kept) > 0 && fs.rand.IntN(4) == 0 {
		clear(kept[fs.rand.IntN(len(kept)):])
	}
	return append(slices.Clone(n.synced), kept...)
}

// FlipBit flips a bit in one byte of a file, like a failing disk.
func (fs *FS) FlipBit(name string, at int) { fs.live[name].data[at] ^= 0x40 }

func (fs *FS) countOp() error {
	if fs.opsLeft == 0 {
		return ErrCrashed
	}
	if fs.opsLeft > 0 {
		fs.opsLeft--
	}
	return nil
}

func setName(names map[string]*inode, r nameChange) {
	if r.node == nil {
		delete(names, r.name)
		return
	}
	names[r.name] = r.node
}

func (fs *FS) applyNameChange(r nameChange) {
	setName(fs.live, r)
	fs.pending = append(fs.pending, r)
}

// Create implements disk.FS.
func (fs *FS) Create(name string) (disk.File, error) {
	if err := fs.countOp(); err != nil {
		return nil, err
	}
	if fs.live[name] != nil {
		return nil, &os.PathError{Op: "create", Path: name, Err: os.ErrExist}
	}
	n := &inode{}
	fs.applyNameChange(nameChange{name: name, node: n})
	return &file{fs: fs, node: n, epoch: fs.epoch}, nil
}

// Append implements disk.FS.
func (fs *FS) Append(name string) (disk.File, error) {
	if err := fs.countOp(); err != nil {
		return nil, err
	}
	n := fs.live[name]
	if n == nil {
		return nil, notExist(name)
	}
	return &file{fs: fs, node: n, epoch: fs.epoch}, nil
}

// ReadFile implements disk.FS.
func (fs *FS) ReadFile(name string) ([]byte, error) {
	if err := fs.countOp(); err != nil {
		return nil, err
	}
	n := fs.live[name]
	if n == nil {
		return nil, notExist(name)
	}
	return slices.Clone(n.data), nil
}

// Rename implements disk.FS. It counts as one operation, but a crash may keep only the first of its two name
// changes, so that both names exist.
func (fs *FS) Rename(from, to string) error {
	if err := fs.countOp(); err != nil {
		return err
	}
	n := fs.live[from]
	if n == nil {
		return notExist(from)
	}
	fs.applyNameChange(nameChange{name: to, node: n})
	fs.applyNameChange(nameChange{name: from})
	return nil
}

// Remove implements disk.FS.
func (fs *FS) Remove(name string) error {
	if err := fs.countOp(); err != nil {
		return err
	}
	if fs.live[name] == nil {
		return notExist(name)
	}
	fs.applyNameChange(nameChange{name: name})
	return nil
}

// List implements disk.FS.
func (fs *FS) List() ([]string, error) {
	return sortedNames(fs.live), fs.countOp()
}

// SyncDir implements disk.FS.
func (fs *FS) SyncDir() error {
	if err := fs.countOp(); err != nil {
		return err
	}
	for _, r := range fs.pending {
		setName(fs.durable, r)
	}
	fs.pending = nil
	return nil
}

func sortedNames(m map[string]*inode) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func notExist(name string) error {
	return &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}

type file struct {
	fs    *FS
	node  *inode
	epoch int
}

func (f *file) countOp() error {
	if f.epoch != f.fs.epoch {
		return ErrCrashed
	}
	return f.fs.countOp()
}

// Write implements io.Writer. A failed write may leave a part of its data behind.
func (f *file) Write(p []byte) (int, error) {
	if err := f.countOp(); err != nil {
		if f.epoch == f.fs.epoch {
			f.node.data = append(f.node.data, p[:f.fs.rand.IntN(len(p)+1)]...)
		}
		return 0, err
	}
	if free := int(f.fs.freeBytes.Load()); free >= 0 && len(p) > free {
		f.node.data = append(f.node.data, p[:free]...)
		f.fs.freeBytes.CompareAndSwap(int64(free), 0)
		return free, syscall.ENOSPC
	} else if free >= 0 {
		f.fs.freeBytes.CompareAndSwap(int64(free), int64(free-len(p)))
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	if err := f.countOp(); err != nil {
		return err
	}
	if f.fs.syncFail {
		return syscall.EIO
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

// Truncate implements disk.File.
func (f *file) Truncate(size int64) error {
	if err := f.countOp(); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:size])
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
