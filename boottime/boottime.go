// Package boottime provides a clock that counts the time during which the machine is suspended.
// Leases, verification ages and prepaid allowances need it: Go's monotonic clock stops during a
// suspension, which would extend them beyond the time that other machines assume, and the wall clock
// can be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that counts suspensions. Its times equal those of time.Now until the first one.
type Clock struct {
	start time.Time
	base  time.Duration // reading at start
	read  func() time.Duration
}

// New returns a clock that starts at a time and advances with read, which must count suspensions.
func New(start time.Time, read func() time.Duration) *Clock {
	return &Clock{start: start, base: read(), read: read}
}

// Now returns the clock's current time.
func (c *Clock) Now() time.Time { return c.start.Add(c.read() - c.base) }

// processClock is the clock of this process.
var processClock = New(time.Now(), sinceBoot)

// Now returns the current time by the clock of this process.
func Now() time.Time { return processClock.Now() }

// sinceBoot reads CLOCK_BOOTTIME, or the monotonic clock on systems without it.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

var processStart = time.Now()
