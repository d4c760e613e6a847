// Package boottime tells the time for what must not outlast a moment elsewhere: leases, proofs
// of age and credit.
//
// Go's monotonic clock stands still while a machine is suspended, and other machines' clocks do
// not. A lease of two seconds would be held for two more after a suspension, however long that
// was. The time of day counts a suspension, but jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a time that goes on while the machine is suspended. Its times are those of
// time.Now until the first suspension.
type Clock struct {
	start time.Time
	base  time.Duration // the reading at the start
	read  func() time.Duration
}

// New returns a clock that began at a moment, over a reading that counts suspensions.
func New(start time.Time, read func() time.Duration) *Clock {
	return &Clock{start: start, base: read(), read: read}
}

// Now returns the time.
func (c *Clock) Now() time.Time { return c.start.Add(c.read() - c.base) }

// process is the clock of this process.
var process = New(time.Now(), sinceBoot)

// Now returns the time with the suspensions of the machine since the process started.
func Now() time.Time { return process.Now() }

// sinceBoot reads CLOCK_BOOTTIME. A system without it cannot tell of suspensions: there it is
// the monotonic clock.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

var processStart = time.Now()
