package quota

import (
	"math"
	"time"
)

const (
	// daemonTimeConstant is the time constant for the usage of a tenant at one daemon.
	daemonTimeConstant = 8 * time.Second
	// tenantTimeConstant is that for a tenant's usage at all daemons, which determines its credit. It is
	// longer, since granted credit outlives a short dip in usage.
	tenantTimeConstant = 24 * time.Second
	// minAge and minDaemonAge are the shortest times over which averages of a tenant and of one daemon
	// are taken, so that a single request does not look like a high rate.
	minAge       = 500 * time.Millisecond
	minDaemonAge = 4 * time.Second
)

// rate is an exponentially decaying average.
type rate struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.value = r.perSecond(now) + amount/r.timeConstant.Seconds()
	r.updatedAt = now
}

// perSecond returns the current average.
func (r *rate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/r.timeConstant.Seconds())
}

// since returns the average of a measurement that began at startedAt, corrected for the missing
// time before that.
func (r *rate) since(startedAt time.Time, minAge time.Duration, now time.Time) float64 {
	age := max(minAge, now.Sub(startedAt))
	return r.perSecond(now) / (1 - math.Exp(-age.Seconds()/r.timeConstant.Seconds()))
}
