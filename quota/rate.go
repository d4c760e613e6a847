package quota

import (
	"math"
	"time"
)

const (
	// daemonTimeConstant is the time constant over which a daemon's use of a tenant is averaged: that of
	// the window in which it counts, as users' sheets have it.
	daemonTimeConstant = 8 * time.Second
	// tenantTimeConstant is the same for a tenant's use at all daemons, which decides on how much is
	// lent ahead. Over 8 s the use of a tenant with 13 requests a second seems a tenth too low
	// at times, and credit that is lent then lasts as long again.
	tenantTimeConstant = 24 * time.Second
	// minAge is the least time over which an average is thought to have been taken, and
	// minDaemonAge the same for a single daemon, where one request is no rate.
	minAge       = 500 * time.Millisecond
	minDaemonAge = 4 * time.Second
)

// rate is a moving average.
type rate struct {
	timeConstant time.Duration // time constant
	value        float64
	at           time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.value = r.perSecond(now) + amount/r.timeConstant.Seconds()
	r.at = now
}

// perSecond returns the average at a moment.
func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/r.timeConstant.Seconds())
}

// since returns the average at a moment of what began a while ago: before that nothing was
// counted, which the average alone would take for nothing used.
func (r *rate) since(startedAt time.Time, minAge time.Duration, now time.Time) float64 {
	age := max(minAge, now.Sub(startedAt))
	return r.perSecond(now) / (1 - math.Exp(-age.Seconds()/r.timeConstant.Seconds()))
}
