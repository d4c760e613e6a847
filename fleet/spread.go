package fleet

import (
	"slices"
	"time"
)

const (
	// reportLag is the assumed age of daemons' request counts when the leader sums them.
	reportLag = 300 * time.Millisecond
	// initialUpdateInterval is the assumed interval between updates of other daemons' requests until
	// two have arrived; it is the leader's minimum interval.
	initialUpdateInterval = 350 * time.Millisecond
	// minUpdateInterval separates two updates from the parts of one.
	minUpdateInterval = 50 * time.Millisecond
	// updateIntervalWeight is the weight of the latest interval in the moving average.
	updateIntervalWeight = 0.2
)

// drawByCost draws a candidate at random so that arrivals, the number of requests that all daemons
// send until the next update of load figures, fill the cheapest candidates up to an equal cost. If all
// daemons chose the cheapest candidate, it would be overloaded until that update.
func drawByCost(costs []float64, arrivals, random float64) int {
	level := fillLevel(costs, arrivals)
	drawn, chosen := random*arrivals, 0
	for index, cost := range costs {
		share := level - cost
		if share <= 0 {
			continue
		}
		chosen = index
		if drawn -= share; drawn < 0 {
			break
		}
	}
	return chosen
}

// fillLevel returns the common cost that the cheapest candidates reach after the given number of
// arrivals.
func fillLevel(costs []float64, arrivals float64) float64 {
	ascending := slices.Sorted(slices.Values(costs))
	sum, level := arrivals, 0.0
	for index, cost := range ascending {
		if index > 0 && level <= cost {
			break
		}
		sum += cost
		level = sum / float64(index+1)
	}
	return level
}

// recordUpdate records that an update of other daemons' requests arrived now; the caller holds the
// mutex.
func (d *Directory) recordUpdate(now time.Time) {
	interval := now.Sub(d.remoteInflightAt)
	if d.remoteInflightAt.IsZero() || interval > remoteInflightTTL {
		d.updateInterval = initialUpdateInterval
	} else if interval >= minUpdateInterval {
		d.updateInterval += time.Duration(updateIntervalWeight * float64(interval-d.updateInterval))
	}
	d.remoteInflightAt = now
}

// expectedArrivals estimates how many requests all daemons send to the candidates until the next update
// of load figures. It assumes that each request that ends is followed by another. The caller holds the
// mutex.
func (d *Directory) expectedArrivals(candidates []*Replica, now time.Time) float64 {
	const minimum = 1.0 // the current request
	if now.Sub(d.remoteInflightAt) > remoteInflightTTL {
		return minimum // without updates only the daemon's own requests are known
	}
	running, meanRunTime := 0, time.Duration(0)
	for _, candidate := range candidates {
		running += d.load(candidate, now)
		meanRunTime = d.meanRunTime[candidate.Service]
	}
	if meanRunTime <= 0 {
		return minimum
	}
	return max(minimum, float64(running)*(d.updateInterval+reportLag).Seconds()/meanRunTime.Seconds())
}
