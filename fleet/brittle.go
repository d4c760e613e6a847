package fleet

import "time"

const (
	// rejectionShare is the share of the rejections that a brittle replica bears which requests may risk.
	// The rest is left for requests that were under way when the replica had no room any more.
	rejectionShare = 0.2
	// rejectionMemory is how long a replica that rejected a request counts as full.
	rejectionMemory = 5 * time.Second
	// peakPeriod is how long the number of requests that a replica took counts as room that it has, at least.
	peakPeriod = time.Second
)

// BrittleHint is what a response states of how many rejections its replica bears. The zero value states
// nothing, as a response does that answers no request or whose number is invalid.
type BrittleHint struct {
	Stated bool
	// Brittle is false if the replica does not say that it is brittle.
	Brittle bool
	// Rejections is the number of requests that the replica may reject in a second; from 0 on.
	Rejections float64
}

// brittleness is the last statement of any replica of a service.
type brittleness struct {
	rejections float64
	observedAt time.Time
}

// fullness is what this daemon knows of the room of a replica by its own requests.
type fullness struct {
	rejectedAt time.Time
	peak       int // requests that the replica had accepted at a time, in the current period
	lastPeak   int // in the period before
	periodAt   time.Time
}

// recordAccepted records that the replica had accepted a number of requests at a time.
func (f *fullness) recordAccepted(requests int, now time.Time) {
	f.rotate(now)
	f.peak = max(f.peak, requests)
}

// recordRejection records that the replica has no room for more than the requests under way.
func (f *fullness) recordRejection(inflight int, now time.Time) {
	f.rejectedAt, f.peak, f.lastPeak, f.periodAt = now, inflight, inflight, now
}

func (f *fullness) rotate(now time.Time) {
	switch elapsed := now.Sub(f.periodAt); {
	case elapsed >= 2*peakPeriod:
		f.lastPeak, f.peak, f.periodAt = 0, 0, now
	case elapsed >= peakPeriod:
		f.lastPeak, f.peak, f.periodAt = f.peak, 0, now
	}
}

// hasRoom reports whether the replica took another request beside those under way a short time ago.
func (f *fullness) hasRoom(inflight int, now time.Time) bool {
	f.rotate(now)
	return inflight < max(f.peak, f.lastPeak)
}

// ApplyBrittleHint applies what a response to this daemon states, and reports whether the service began or
// ceased to be brittle. All replicas of a service are brittle at the same time.
func (d *Directory) ApplyBrittleHint(hint Hint, now time.Time) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[hint.Replica]
	if replica == nil || !hint.Brittle.Stated {
		return false
	}
	known, wasBrittle := d.brittle[replica.Service]
	if !hint.Brittle.Brittle {
		if !wasBrittle || !hint.SentAt.After(known.observedAt) {
			return false
		}
		delete(d.brittle, replica.Service)
		return true
	}
	d.brittle[replica.Service] = brittleness{hint.Brittle.Rejections, now}
	return !wasBrittle
}

// SetDaemonCount sets the number of daemons that send requests to the replicas.
func (d *Directory) SetDaemonCount(daemons int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.daemons = daemons
}

// BrittleServices returns the number of services whose replicas are brittle.
func (d *Directory) BrittleServices() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.brittle)
}

func (d *Directory) isBrittle(service string) bool {
	_, brittle := d.brittle[service]
	return brittle
}

// permitRate returns the rate of permits that a further request to a replica needs, in messages per second;
// zero if it needs none. The caller holds the mutex.
func (d *Directory) permitRate(replica *Replica, now time.Time) float64 {
	if replica.perSecond > 0 {
		return replica.perSecond
	}
	state, brittle := d.brittle[replica.Service]
	if !brittle || !d.mayReject(replica, now) {
		return 0
	}
	return max(minRateLimit, rejectionShare*state.rejections)
}

// mayReject reports whether a brittle replica might have no room for a further request. The caller holds the
// mutex.
func (d *Directory) mayReject(replica *Replica, now time.Time) bool {
	if replica.Slots > 0 && d.load(replica, now) >= replica.Slots {
		return true
	}
	if replica.fullness.hasRoom(replica.inflight, now) {
		return false
	}
	// Other daemons' requests are known late, so each may use its share of the slots unasked, but one at least.
	usesShare := replica.Slots > 0 && replica.inflight > 0 && (replica.inflight+1)*d.daemons > replica.Slots
	return usesShare || now.Sub(replica.fullness.rejectedAt) < rejectionMemory
}
