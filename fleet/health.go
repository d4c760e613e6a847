package fleet

import (
	"math"
	"time"
)

const (
	// initialBackoff is the back-off after the first failure to reach a replica. It doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// failureWeight is the weight of the latest request in the moving failure share.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure share halves without requests, so that a replica that failed is
	// chosen again while others serve.
	failureHalfLife = 30 * time.Second
)

// health tracks the outcome of this daemon's requests to a replica.
type health struct {
	// failureShare is the moving average of the failed share of requests, 0 to 1, as of recordedAt.
	failureShare        float64
	recordedAt          time.Time
	consecutiveFailures int // failures to reach the replica since the last response
	backoffUntil        time.Time
}

// recordAnswer records a response; failed reports whether it was an error of the replica.
func (h *health) recordAnswer(failed bool, now time.Time) {
	h.consecutiveFailures = 0
	h.backoffUntil = time.Time{}
	h.record(failed, now)
}

// recordUnreachable records a request without a complete response and starts a back-off.
func (h *health) recordUnreachable(now time.Time) {
	h.consecutiveFailures++
	h.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(h.consecutiveFailures-1, 4)))
	h.record(true, now)
}

func (h *health) record(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := h.failureShareAt(now)
	h.failureShare, h.recordedAt = share+failureWeight*(sample-share), now
}

// failureShareAt returns the failed share of the latest requests, which counts less the longer they are ago.
func (h *health) failureShareAt(now time.Time) float64 {
	if h.failureShare == 0 {
		return 0
	}
	age := max(0, now.Sub(h.recordedAt))
	return h.failureShare * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// isUnreachable reports whether the back-off after a failure to reach the replica is in effect.
func (h *health) isUnreachable(now time.Time) bool { return now.Before(h.backoffUntil) }
