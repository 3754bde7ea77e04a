package disk

import (
	"errors"
	"syscall"
	"testing"
)

// TestLockFailuresAreToldApart: only a folder that is in use is called so.
func TestLockFailuresAreToldApart(t *testing.T) {
	var locked *Locked
	if err := lockFailure("f", syscall.EWOULDBLOCK); !errors.As(err, &locked) {
		t.Errorf("in use: got %v", err)
	}
	for _, cause := range []error{syscall.EBADF, syscall.ENOLCK, syscall.ENOSYS} {
		err := lockFailure("f", cause)
		if errors.As(err, &locked) || !errors.Is(err, cause) {
			t.Errorf("%v: got %v, which hides the cause", cause, err)
		}
	}
}

// TestSecondProcessIsRefused opens a folder twice.
func TestSecondProcessIsRefused(t *testing.T) {
	dir := t.TempDir()
	_, closeFirst, err := New(dir)
	if err != nil {
		t.Fatal(err)
	}
	var locked *Locked
	if _, _, err := New(dir); !errors.As(err, &locked) {
		t.Errorf("got %v, want that the folder is in use", err)
	}
	if err := closeFirst(); err != nil {
		t.Fatal(err)
	}
	_, closeSecond, err := New(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := closeSecond(); err != nil {
		t.Error(err)
	}
}
