package quarantine

import (
	"slices"
	"time"
)

const (
	// leftTime is for how long a replica's end is held against a request that was given up
	// there. Replicas ended 0.20 to 0.35 s after it (measured from log lines, four ends, two of
	// them seen by nobody whose connection was still open); the rest is margin.
	leftTime = time.Second
	// checkAfter is when a replica is asked whether it has ended since: the answer still comes
	// within leftTime.
	checkAfter = leftTime - probeTime
	// mostLeft bounds the requests that are remembered so: 64 KB a daemon.
	mostLeft = 2048
)

// departures are requests that were given up at replicas within the last leftTime, by replica.
type departures map[string][]departure

type departure struct {
	request Fingerprint
	at      time.Time
}

// add notes a request; first tells whether it is the only one of its replica.
func (d departures) add(replica string, request Fingerprint, now time.Time) (first bool) {
	known := 0
	for _, some := range d {
		known += len(some)
	}
	if known >= mostLeft {
		return false
	}
	d[replica] = append(d[replica], departure{request, now})
	return len(d[replica]) == 1
}

// take returns the requests that were given up at a replica shortly before a moment, and forgets
// them.
func (d departures) take(replica string, now time.Time) []Fingerprint {
	var requests []Fingerprint
	for _, one := range d[replica] {
		if now.Sub(one.at) <= leftTime {
			requests = append(requests, one.request)
		}
	}
	delete(d, replica)
	return requests
}

// keep forgets what was checked at a moment, and tells whether anything is left of a replica.
func (d departures) keep(replica string, checked time.Time) bool {
	recent := slices.DeleteFunc(d[replica], func(one departure) bool { return checked.Sub(one.at) >= checkAfter })
	if len(recent) == 0 {
		delete(d, replica)
		return false
	}
	d[replica] = recent
	return true
}
