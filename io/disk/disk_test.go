package disk

import (
	"errors"
	"syscall"
	"testing"
)

// TestLockErrorKeepsCause checks that only EWOULDBLOCK counts as a directory
// in use; other failures of the lock keep their cause.
func TestLockErrorKeepsCause(t *testing.T) {
	var locked *LockedError
	if err := lockError("f", syscall.EWOULDBLOCK); !errors.As(err, &locked) {
		t.Errorf("EWOULDBLOCK: got %v, want a *LockedError", err)
	}
	for _, cause := range []error{syscall.EBADF, syscall.ENOLCK, syscall.ENOSYS} {
		err := lockError("f", cause)
		if errors.As(err, &locked) || !errors.Is(err, cause) {
			t.Errorf("%v: got %v, want an error that wraps the cause and is not a *LockedError", cause, err)
		}
	}
}

// TestSecondProcessIsRefused checks that a directory cannot be opened twice at a
// time, and can be opened again after it is closed.
func TestSecondProcessIsRefused(t *testing.T) {
	dir := t.TempDir()
	_, closeFirst, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	var locked *LockedError
	if _, _, err := Open(dir); !errors.As(err, &locked) {
		t.Errorf("got %v, want a *LockedError", err)
	}
	if err := closeFirst(); err != nil {
		t.Fatal(err)
	}
	_, closeSecond, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := closeSecond(); err != nil {
		t.Error(err)
	}
}
