package core

import "time"

const (
	// overloadFactor is by how much the expected time to the first byte must exceed the caller's patience
	// before a request is refused: estimates are uncertain, and a late answer is better than none.
	overloadFactor = 1.5
	// minBacklogRetry and maxBacklogRetry bound the retry advice for a backlog of prompts. Callers heed
	// advice only up to a part of the time that they have left, and a backlog of seconds is rarely estimated
	// well.
	minBacklogRetry = defaultRetryAfter
	maxBacklogRetry = 3 * time.Second
)

// isOverloaded reports whether a request on the best replica would get its first byte only after its caller
// has left. Serving it would take the replica's time from requests that can still be answered.
func isOverloaded(expectedFirstByte, patience time.Duration) bool {
	return expectedFirstByte > time.Duration(overloadFactor*float64(patience))
}

// backlogRetry returns when a request that was refused for overload should return: once the backlog is read
// so far that the request would meet its objective.
func backlogRetry(expectedFirstByte, objective time.Duration) time.Duration {
	return min(maxBacklogRetry, max(minBacklogRetry, expectedFirstByte-objective))
}
