package fleet

import (
	"slices"
	"time"
)

const (
	// reportLag is how old the requests of other daemons are when the holder of load orders
	// sums them: they are reported each 0.3 s.
	reportLag = 300 * time.Millisecond
	// wordPauseFirst is how long after each other words of other daemons' requests come before
	// two were heard: the least pause of the holder.
	wordPauseFirst = 350 * time.Millisecond
	// wordPauseLeast tells two words from the parts of one.
	wordPauseLeast = 50 * time.Millisecond
	// wordPauseWeight is the weight of the newest pause in the mean.
	wordPauseWeight = 0.2
)

// spread draws one of several candidates by their costs, in requests, for a request that is
// one of so many which all daemons together send before they hear of each other.
//
// All daemons choose by the same numbers, which are some hundred ms old. If all took the
// cheapest, it would be overrun until the next word, and then another. Each draws instead so
// that the requests that are coming even the costs out: as water fills vessels, the cheapest
// take most and those above the level none. For a single request that is the cheapest.
func spread(costs []float64, coming, random float64) int {
	level := fillLevel(costs, coming)
	drawn, chosen := random*coming, 0
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

// fillLevel returns the cost up to which so many requests fill the candidates.
func fillLevel(costs []float64, coming float64) float64 {
	ascending := slices.Sorted(slices.Values(costs))
	sum, level := coming, 0.0
	for index, cost := range ascending {
		if index > 0 && level <= cost {
			break
		}
		sum += cost
		level = sum / float64(index+1)
	}
	return level
}

// noteWord takes in that other daemons' requests were told now; the mutex is held.
func (d *Directory) noteWord(now time.Time) {
	pause := now.Sub(d.othersAt)
	if d.othersAt.IsZero() || pause > othersTime {
		d.wordPause = wordPauseFirst
	} else if pause >= wordPauseLeast {
		d.wordPause += time.Duration(wordPauseWeight * float64(pause-d.wordPause))
	}
	d.othersAt = now
}

// coming estimates how many requests all daemons send to some replicas before they hear of
// each other's: as many as run there now end, and are replaced, in that time. The mutex is
// held.
func (d *Directory) coming(candidates []*Replica, now time.Time) float64 {
	const least = 1.0 // the request itself
	if now.Sub(d.othersAt) > othersTime {
		return least // by its own numbers, a daemon knows best
	}
	running, runTime := 0, time.Duration(0)
	for _, candidate := range candidates {
		running += d.load(candidate, now)
		runTime = d.runTime[candidate.Service]
	}
	if runTime <= 0 {
		return least
	}
	return max(least, float64(running)*(d.wordPause+reportLag).Seconds()/runTime.Seconds())
}
