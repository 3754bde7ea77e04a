package replica_test

import (
	"errors"
	"fmt"

	"pgregory.net/rapid"

	"tanagerroad"
)

var errCrashed = errors.New("the machine crashed")

// fakeDisk keeps what was synced apart from what was not. With a budget it
// crashes its machine in the middle of an operation.
type fakeDisk struct {
	synced   map[string][]byte
	unsynced map[string][]byte
	budget   int // operations until the crash; negative: none
	torn     func(n int) int
}

var _ tanagerroad.Disk = (*fakeDisk)(nil)

func newFakeDisk() *fakeDisk {
	return &fakeDisk{synced: map[string][]byte{}, unsynced: map[string][]byte{}, budget: -1, torn: func(n int) int { return n }}
}

// spend takes one operation from the budget; it reports whether the crash
// comes now.
func (d *fakeDisk) spend() bool {
	if d.budget < 0 {
		return false
	}
	d.budget--
	return d.budget < 0
}

func (d *fakeDisk) Append(name string, data []byte) error {
	if d.spend() {
		d.unsynced[name] = append(d.unsynced[name], data[:d.torn(len(data))]...)
		return errCrashed
	}
	d.unsynced[name] = append(d.unsynced[name], data...)
	return nil
}

func (d *fakeDisk) Sync(name string) error {
	if d.spend() {
		return errCrashed
	}
	d.synced[name] = append(d.synced[name], d.unsynced[name]...)
	delete(d.unsynced, name)
	return nil
}

func (d *fakeDisk) Replace(name string, data []byte) error {
	crash := d.spend()
	if crash && d.torn(2) < 2 {
		return errCrashed // before the rename
	}
	d.synced[name] = append([]byte(nil), data...)
	delete(d.unsynced, name)
	if crash {
		return errCrashed // behind it
	}
	return nil
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	return append(append([]byte(nil), d.synced[name]...), d.unsynced[name]...), nil
}

func (d *fakeDisk) Truncate(name string, size int64) error {
	all, _ := d.Read(name)
	d.synced[name] = all[:size]
	delete(d.unsynced, name)
	return nil
}

// crash loses what was not synced, but for a torn start of it.
func (d *fakeDisk) crash(t *rapid.T) {
	for name, tail := range d.unsynced {
		keep := rapid.IntRange(0, len(tail)).Draw(t, "torn")
		d.synced[name] = append(d.synced[name], tail[:keep]...)
		delete(d.unsynced, name)
	}
	d.budget = -1
}

func (d *fakeDisk) String() string { return fmt.Sprintf("%d files", len(d.synced)) }
