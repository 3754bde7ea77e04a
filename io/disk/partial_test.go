package disk_test

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"tanagerroad/io/disk"
)

// TestFailedReplaceKeepsItsBytes guards against a replacement that found no room and leaves what
// it had written on the full disk.
func TestFailedReplaceKeepsItsBytes(t *testing.T) {
	const room = 64 << 10
	dir := t.TempDir()
	d, closeDisk, err := disk.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closeDisk() }()
	signal.Ignore(syscall.SIGXFSZ) // writes beyond the limit then fail with EFBIG
	defer signal.Reset(syscall.SIGXFSZ)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: room, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	err = d.Replace("journal", make([]byte, 2*room))
	if restoreErr := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); restoreErr != nil {
		t.Fatal(restoreErr)
	}
	if err == nil {
		t.Fatal("a file larger than the limit was written")
	}
	if info, statErr := os.Stat(filepath.Join(dir, "journal.partial")); statErr == nil && info.Size() > 0 {
		t.Errorf("%v; %d bytes of it are still on the disk", err, info.Size())
	}
}
