package tanagerroad

import "time"

// Clock is the time source of code that must not read the system clock, so
// that it can be tested and replayed.
type Clock interface {
	// Now returns the time since some fixed moment; it never decreases.
	Now() time.Duration
	// Wall returns the calendar time, for records that people read and for
	// retention. It may jump.
	Wall() time.Time
}

// SystemClock reads the system clock; its Now counts from its construction.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a clock whose Now starts at zero.
func NewSystemClock() SystemClock { return SystemClock{start: time.Now()} }

// Now returns the monotonic time since construction.
func (c SystemClock) Now() time.Duration { return time.Since(c.start) }

// Wall returns the calendar time.
func (c SystemClock) Wall() time.Time { return time.Now() }
