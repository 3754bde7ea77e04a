// Package disk implements tanagerroad.Disk as a directory of plain files. Writes
// use ordinary system calls, never mapped memory, and are durable once synced. A
// lock file keeps a second process from using the same directory.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"tanagerroad"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
	lockFile = "lock"
	// partialSuffix ends the names of files that are still being written.
	partialSuffix = ".partial"
)

// LockedError is the error for a data directory that another process uses.
type LockedError struct{ Dir string }

func (l *LockedError) Error() string {
	return fmt.Sprintf("data directory %s is in use by another process", l.Dir)
}

// Dir is a locked data directory. It implements tanagerroad.Disk.
type Dir struct {
	path      string
	mu        sync.Mutex
	openFiles map[string]*os.File
}

var _ tanagerroad.Disk = (*Dir)(nil)

// Open creates the directory if it is missing, opens it and locks it. The returned
// function closes all files and releases the lock. If another process holds the
// lock, the error is a *LockedError.
func Open(path string) (*Dir, func() error, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, nil, fmt.Errorf("data directory: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, nil, fmt.Errorf("data directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, nil, errors.Join(lockError(path, err), lock.Close())
	}
	d := &Dir{path: path, openFiles: map[string]*os.File{}}
	closeAll := func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		var errs []error
		for _, file := range d.openFiles {
			errs = append(errs, file.Close())
		}
		return errors.Join(append(errs, lock.Close())...)
	}
	return d, closeAll, nil
}

// lockError returns a *LockedError if err says that another process holds the
// lock, or else an error that wraps err, such as for a file system without locks.
func lockError(path string, err error) error {
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return &LockedError{path}
	}
	return fmt.Errorf("data directory %s cannot be locked: %w", path, err)
}

// openForAppend returns the open file of that name and creates it if it is
// missing. The caller holds d.mu.
func (d *Dir) openForAppend(name string) (*os.File, error) {
	if file, ok := d.openFiles[name]; ok {
		return file, nil
	}
	path := filepath.Join(d.path, name)
	_, statErr := os.Stat(path)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if statErr != nil {
		// The name of a new file is durable only once the directory is synced.
		if err := d.syncDir(); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	d.openFiles[name] = file
	return file, nil
}

// Append adds data to the end of the file without syncing it.
func (d *Dir) Append(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.openForAppend(name)
	if err != nil {
		return fmt.Errorf("append to %s: %w", name, err)
	}
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("append to %s: %w", name, err)
	}
	return nil
}

// Sync makes all data appended to the file durable.
func (d *Dir) Sync(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.openForAppend(name)
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := syscall.Fdatasync(int(file.Fd())); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// Replace sets the content of the file to data, durably and atomically: it writes
// and syncs a temporary file and renames it over the old one.
func (d *Dir) Replace(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	temporary := filepath.Join(d.path, name+partialSuffix)
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if file, ok := d.openFiles[name]; ok {
		delete(d.openFiles, name)
		if err := file.Close(); err != nil {
			return fmt.Errorf("replace %s: %w", name, err)
		}
	}
	if err := os.Rename(temporary, filepath.Join(d.path, name)); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if err := d.syncDir(); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}

// writeSynced writes a file of exactly data and syncs it. If that fails it removes the file,
// whose bytes would take room from the next try.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

func (d *Dir) syncDir() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Read returns the content of the file, or nil and no error if there is no such
// file.
func (d *Dir) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(d.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return data, nil
}
