package fleet

import "time"

const (
	// restFirst is how long a replica rests after a first failure to reach it; the
	// rest doubles up to restLongest.
	restFirst   = 300 * time.Millisecond
	restLongest = 3 * time.Second
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.15
)

// health is how a replica's answers to this daemon have been.
type health struct {
	failureShare float64 // moving share of requests that failed, 0 to 1
	inARow       int     // failures to reach it since the last answer
	restUntil    time.Time
}

// answered takes in a request that the replica answered; failed tells whether it
// answered with a failure of its own.
func (h *health) answered(failed bool) {
	h.inARow = 0
	h.restUntil = time.Time{}
	h.record(failed)
}

// unreachable takes in a request that got no whole answer.
func (h *health) unreachable(now time.Time) {
	h.inARow++
	h.restUntil = now.Add(min(restLongest, restFirst<<min(h.inARow-1, 4)))
	h.record(true)
}

func (h *health) record(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failureShare += failureWeight * (sample - h.failureShare)
}

func (h *health) resting(now time.Time) bool { return now.Before(h.restUntil) }
