package replica_test

import (
	"errors"
	"fmt"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/replica"
)

var (
	errCrashed = errors.New("simulated crash")
	errRefused = errors.New("the simulated disk refuses writes")
)

// What a fakeDisk refuses.
const (
	refusesNothing = iota
	refusesBytes   // full: the first half of what is appended is taken
	refusesSyncs   // what is appended can be read, and never becomes durable
)

// fakeDisk is an in-memory disk that keeps synced and unsynced data apart. With a
// budget it simulates a machine crash in the middle of an operation. Once a sync of a file
// has failed, later ones succeed and make nothing durable, until the file is replaced.
type fakeDisk struct {
	synced     map[string][]byte
	unsynced   map[string][]byte
	budget     int             // operations before the one that crashes; negative: no crash
	tornLength func(n int) int // how much of an operation of size n is done at a crash
	refuses    int
	tainted    map[string]bool // a sync of the file has failed
	saved      replica.Stored  // what was written last, as far as its writer knows
}

var _ tanagerroad.Disk = (*fakeDisk)(nil)

func newFakeDisk() *fakeDisk {
	return &fakeDisk{synced: map[string][]byte{}, unsynced: map[string][]byte{}, tainted: map[string]bool{}, budget: -1, tornLength: func(n int) int { return n }}
}

// crashNow takes one operation from the budget. It reports whether this operation
// crashes.
func (d *fakeDisk) crashNow() bool {
	if d.budget < 0 {
		return false
	}
	d.budget--
	return d.budget < 0
}

func (d *fakeDisk) Append(name string, data []byte) error {
	if d.crashNow() {
		d.unsynced[name] = append(d.unsynced[name], data[:d.tornLength(len(data))]...)
		return errCrashed
	}
	if d.refuses == refusesBytes {
		d.unsynced[name] = append(d.unsynced[name], data[:len(data)/2]...)
		return errRefused
	}
	d.unsynced[name] = append(d.unsynced[name], data...)
	return nil
}

func (d *fakeDisk) Sync(name string) error {
	if d.crashNow() {
		return errCrashed
	}
	if d.refuses != refusesNothing {
		d.tainted[name] = true
		return errRefused
	}
	if d.tainted[name] {
		return nil
	}
	d.synced[name] = append(d.synced[name], d.unsynced[name]...)
	delete(d.unsynced, name)
	return nil
}

func (d *fakeDisk) Replace(name string, data []byte) error {
	crash := d.crashNow()
	if crash && d.tornLength(2) < 2 {
		return errCrashed // before the rename
	}
	if d.refuses != refusesNothing {
		return errRefused
	}
	d.synced[name] = append([]byte(nil), data...)
	delete(d.unsynced, name)
	delete(d.tainted, name)
	if crash {
		return errCrashed // after the rename
	}
	return nil
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	return append(append([]byte(nil), d.synced[name]...), d.unsynced[name]...), nil
}

// crash is a loss of power: it drops unsynced data, except for a prefix of random length in
// each file.
func (d *fakeDisk) crash(t *rapid.T) {
	for name, tail := range d.unsynced {
		keep := rapid.IntRange(0, len(tail)).Draw(t, "torn")
		d.synced[name] = append(d.synced[name], tail[:keep]...)
		delete(d.unsynced, name)
	}
	clear(d.tainted)
	d.budget = -1
}

func (d *fakeDisk) String() string { return fmt.Sprintf("%d files", len(d.synced)) }
