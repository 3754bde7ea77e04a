package tanagerroad

import "time"

// Clock tells the time to code that must not ask the machine for it.
type Clock interface {
	// Now is the time since some fixed moment; it never goes back.
	Now() time.Duration
	// Wall is the calendar time, for records that people read and for
	// retention; it may jump.
	Wall() time.Time
}

// SystemClock is the machine's clock, counted from its own construction.
type SystemClock struct{ start time.Time }

// NewSystemClock starts a clock at zero.
func NewSystemClock() SystemClock { return SystemClock{start: time.Now()} }

// Now is the monotonic time since construction.
func (c SystemClock) Now() time.Duration { return time.Since(c.start) }

// Wall is the calendar time.
func (c SystemClock) Wall() time.Time { return time.Now() }
