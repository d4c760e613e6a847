package fleet

import "time"

const (
	// initialBackoff is the back-off after the first failure to reach a replica. It doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// failureWeight is the weight of the latest request in the moving failure share.
	failureWeight = 0.15
)

// health tracks the outcome of this daemon's requests to a replica.
type health struct {
	failureShare        float64 // moving average of the failed share of requests, 0 to 1
	consecutiveFailures int     // failures to reach the replica since the last response
	backoffUntil        time.Time
}

// recordAnswer records a response; failed reports whether it was an error of the replica.
func (h *health) recordAnswer(failed bool) {
	h.consecutiveFailures = 0
	h.backoffUntil = time.Time{}
	h.record(failed)
}

// recordUnreachable records a request without a complete response and starts a back-off.
func (h *health) recordUnreachable(now time.Time) {
	h.consecutiveFailures++
	h.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(h.consecutiveFailures-1, 4)))
	h.record(true)
}

func (h *health) record(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failureShare += failureWeight * (sample - h.failureShare)
}

// isUnreachable reports whether the back-off after a failure to reach the replica is in effect.
func (h *health) isUnreachable(now time.Time) bool { return now.Before(h.backoffUntil) }
