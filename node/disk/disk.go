// Package disk abstracts the file system operations that durable state needs. Tests use an implementation
// that loses unsynced bytes.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/juju/errors"
)

// File is an open file. Written bytes are durable only after Sync.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is one data folder. Names are relative to it and contain no separators. A created, renamed or removed
// name is durable only after SyncDir.
type FS interface {
	// Create creates a file and opens it for writing. It fails if the name exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// ReadFile returns the content of a file. The error satisfies os.IsNotExist if the file does not exist.
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all regular files, sorted.
	List() ([]string, error)
	SyncDir() error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// Dir implements FS with a directory of the operating system.
type Dir struct {
	path string
	lock *os.File // open as long as the directory is locked
}

// OpenDir returns the FS of a directory and creates the directory if needed.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Annotate(err, "data folder")
	}
	return &Dir{path: path}, nil
}

// ErrInUse says that another process has locked the data folder.
var ErrInUse = errors.New("the data folder is in use by another process; stop that one first")

const lockName = "lock"

// Lock takes an exclusive lock on the directory for the lifetime of this process. A second process would
// truncate the record that the first one is writing.
func (d *Dir) Lock() error {
	f, err := os.OpenFile(d.join(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Trace(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return errors.Annotate(ErrInUse, d.path)
	}
	d.lock = f
	return nil
}

// Create implements FS.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile implements FS.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

// Rename implements FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove implements FS.
func (d *Dir) Remove(name string) error { return os.Remove(d.join(name)) }

// List implements FS.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements FS.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

// WriteFile replaces the content of a file atomically. Once it returns nil the new content is durable; a
// reader never sees a mixture of old and new content.
func WriteFile(fs FS, name string, data []byte) error {
	tmp := name + ".tmp"
	if err := fs.Remove(tmp); err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	f, err := fs.Create(tmp)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Trace(err)
	}
	if err := fs.Rename(tmp, name); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(fs.SyncDir())
}
