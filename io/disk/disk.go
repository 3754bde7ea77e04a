// Package disk is a data folder of plain files. Writes go through ordinary
// system calls, never through mapped memory; they last once synced. A second
// process on the same folder is refused.
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
	folderMode = 0o750
	fileMode   = 0o640
	lockName   = "lock"
	// partial ends the names of files that are not yet in place.
	partial = ".partial"
)

// Locked reports that another process uses the folder.
type Locked struct{ Folder string }

func (l *Locked) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", l.Folder)
}

// Folder implements tanagerroad.Disk.
type Folder struct {
	path string
	mu   sync.Mutex
	open map[string]*os.File
}

var _ tanagerroad.Disk = (*Folder)(nil)

// New opens the folder, which it makes if need be, and locks it. The returned
// function closes all files and gives up the lock.
func New(path string) (*Folder, func() error, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, nil, fmt.Errorf("data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, nil, fmt.Errorf("data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, nil, errors.Join(lockFailure(path, err), lock.Close())
	}
	f := &Folder{path: path, open: map[string]*os.File{}}
	closeAll := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		var errs []error
		for _, file := range f.open {
			errs = append(errs, file.Close())
		}
		return errors.Join(append(errs, lock.Close())...)
	}
	return f, closeAll, nil
}

// lockFailure tells a folder in use from one whose file system has no locks.
func lockFailure(path string, err error) error {
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return &Locked{path}
	}
	return fmt.Errorf("data folder %s cannot be locked: %w", path, err)
}

func (f *Folder) file(name string) (*os.File, error) {
	if file, ok := f.open[name]; ok {
		return file, nil
	}
	path := filepath.Join(f.path, name)
	_, missing := os.Stat(path)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if missing != nil {
		// The file's name lasts only once the folder is synced.
		if err := f.syncFolder(); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	f.open[name] = file
	return file, nil
}

// Append adds bytes to the file's end, unsynced.
func (f *Folder) Append(name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.file(name)
	if err != nil {
		return fmt.Errorf("append to %s: %w", name, err)
	}
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("append to %s: %w", name, err)
	}
	return nil
}

// Sync makes everything appended to the file durable.
func (f *Folder) Sync(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.file(name)
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := syscall.Fdatasync(int(file.Fd())); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// Replace makes the file hold exactly data, by a synced copy that is renamed.
func (f *Folder) Replace(name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	temporary := filepath.Join(f.path, name+partial)
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if file, ok := f.open[name]; ok {
		delete(f.open, name)
		if err := file.Close(); err != nil {
			return fmt.Errorf("replace %s: %w", name, err)
		}
	}
	if err := os.Rename(temporary, filepath.Join(f.path, name)); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if err := f.syncFolder(); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Read returns the file's bytes, or nil when there is no such file.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(f.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return data, nil
}

// Truncate cuts the file to size bytes, durably.
func (f *Folder) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.file(name)
	if err != nil {
		return fmt.Errorf("truncate %s: %w", name, err)
	}
	if err := file.Truncate(size); err != nil {
		return fmt.Errorf("truncate %s: %w", name, err)
	}
	return file.Sync()
}
