// Package disktest is a disk.FS in memory that forgets what was not synced,
// for tests of code that must survive a crash. It models a POSIX file system:
// a crash may keep any prefix of the bytes written since the last Sync, may
// leave zeros in their place, and may keep any prefix of the names changed
// since the last SyncDir.
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
	data   []byte // what a reader sees
	synced []byte // what a crash keeps
}

type rename struct {
	name string
	node *inode // nil for a removed name
}

// FS implements disk.FS. It is not safe for concurrent use, but for FillAfter.
type FS struct {
	live    map[string]*inode
	durable map[string]*inode
	pending []rename // changes of names since the last SyncDir, in order
	epoch   int      // files opened before a crash are dead

	left     int          // operations until the planned crash, negative for none
	free     atomic.Int64 // bytes until the disk is full, negative for no limit
	rand     *rand.Rand
	syncFail bool
}

// New returns an empty file system. The seed decides what a crash keeps.
func New(seed uint64) *FS {
	fs := &FS{live: map[string]*inode{}, durable: map[string]*inode{}, left: -1, rand: rand.New(rand.NewPCG(seed, 1))}
	fs.free.Store(-1)
	return fs
}

// CrashAfter lets ops more operations succeed. The next one may take effect in
// part and fails, as does everything after it until Crash.
func (fs *FS) CrashAfter(ops int) { fs.left = ops }

// FillAfter makes writes fail with ENOSPC after n more bytes; a negative number
// gives the disk room without end. It may be called beside other operations.
func (fs *FS) FillAfter(n int) { fs.free.Store(int64(n)) }

// FailSyncs makes every Sync of a file fail.
func (fs *FS) FailSyncs() { fs.syncFail = true }

// Crash forgets what was not synced and makes the file system usable again.
func (fs *FS) Crash() {
	fs.epoch++
	fs.left, fs.syncFail = -1, false
	fs.free.Store(-1)
	for _, r := range fs.pending[:fs.rand.IntN(len(fs.pending)+1)] {
		setName(fs.durable, r)
	}
	fs.pending = nil
	fs.live = map[string]*inode{}
	for _, name := range sortedNames(fs.durable) {
		n := fs.durable[name]
		n.data = fs.afterCrash(n)
		n.synced = slices.Clone(n.data)
		fs.live[name] = n
	}
}

func (fs *FS) afterCrash(n *inode) []byte {
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

// Damage changes one byte of a file, as a failing disk would.
func (fs *FS) Damage(name string, at int) { fs.live[name].data[at] ^= 0x40 }

func (fs *FS) step() error {
	if fs.left == 0 {
		return ErrCrashed
	}
	if fs.left > 0 {
		fs.left--
	}
	return nil
}

func setName(names map[string]*inode, r rename) {
	if r.node == nil {
		delete(names, r.name)
		return
	}
	names[r.name] = r.node
}

func (fs *FS) change(r rename) {
	setName(fs.live, r)
	fs.pending = append(fs.pending, r)
}

// Create implements disk.FS.
func (fs *FS) Create(name string) (disk.File, error) {
	if err := fs.step(); err != nil {
		return nil, err
	}
	if fs.live[name] != nil {
		return nil, &os.PathError{Op: "create", Path: name, Err: os.ErrExist}
	}
	n := &inode{}
	fs.change(rename{name: name, node: n})
	return &file{fs: fs, node: n, epoch: fs.epoch}, nil
}

// Append implements disk.FS.
func (fs *FS) Append(name string) (disk.File, error) {
	if err := fs.step(); err != nil {
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
	if err := fs.step(); err != nil {
		return nil, err
	}
	n := fs.live[name]
	if n == nil {
		return nil, notExist(name)
	}
	return slices.Clone(n.data), nil
}

// Rename implements disk.FS. Both names change in one step.
func (fs *FS) Rename(from, to string) error {
	if err := fs.step(); err != nil {
		return err
	}
	n := fs.live[from]
	if n == nil {
		return notExist(from)
	}
	fs.change(rename{name: to, node: n})
	fs.change(rename{name: from})
	return nil
}

// Remove implements disk.FS.
func (fs *FS) Remove(name string) error {
	if err := fs.step(); err != nil {
		return err
	}
	if fs.live[name] == nil {
		return notExist(name)
	}
	fs.change(rename{name: name})
	return nil
}

// List implements disk.FS.
func (fs *FS) List() ([]string, error) {
	return sortedNames(fs.live), fs.step()
}

// SyncDir implements disk.FS.
func (fs *FS) SyncDir() error {
	if err := fs.step(); err != nil {
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

func (f *file) step() error {
	if f.epoch != f.fs.epoch {
		return ErrCrashed
	}
	return f.fs.step()
}

// Write implements io.Writer. A write that fails may leave a part behind.
func (f *file) Write(p []byte) (int, error) {
	if err := f.step(); err != nil {
		if f.epoch == f.fs.epoch {
			f.node.data = append(f.node.data, p[:f.fs.rand.IntN(len(p)+1)]...)
		}
		return 0, err
	}
	if free := int(f.fs.free.Load()); free >= 0 && len(p) > free {
		f.node.data = append(f.node.data, p[:free]...)
		f.fs.free.CompareAndSwap(int64(free), 0)
		return free, syscall.ENOSPC
	} else if free >= 0 {
		f.fs.free.CompareAndSwap(int64(free), int64(free-len(p)))
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	if err := f.step(); err != nil {
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
	if err := f.step(); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:size])
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
