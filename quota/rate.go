package quota

import (
	"math"
	"time"
)

const (
	// shortTime is the time constant over which a daemon's use of a tenant is averaged: that of
	// the window in which it counts, as users' sheets have it.
	shortTime = 8 * time.Second
	// longTime is the same for a tenant's use at all daemons, which decides on how much is
	// lent ahead. Over 8 s the use of a tenant with 13 requests a second seems a tenth too low
	// at times, and credit that is lent then lasts as long again.
	longTime = 24 * time.Second
	// leastAge is the least time over which an average is thought to have been taken, and
	// leastDaemonAge the same for a single daemon, where one request is no rate.
	leastAge       = 500 * time.Millisecond
	leastDaemonAge = 4 * time.Second
)

// rate is a moving average.
type rate struct {
	over  time.Duration // time constant
	value float64
	at    time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.value = r.perSecond(now) + amount/r.over.Seconds()
	r.at = now
}

// perSecond returns the average at a moment.
func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/r.over.Seconds())
}

// since returns the average at a moment of what began a while ago: before that nothing was
// counted, which the average alone would take for nothing used.
func (r *rate) since(began time.Time, least time.Duration, now time.Time) float64 {
	age := max(least, now.Sub(began))
	return r.perSecond(now) / (1 - math.Exp(-age.Seconds()/r.over.Seconds()))
}
