package core

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/estimate"
	"github.com/finchspoke/finchspoke/failure"
)

// runTimeDeviations is the number of deviations added to the mean run time. More would refuse many
// calls that finish in time.
const runTimeDeviations = 1

// interruptionReserve is the time that a call accepted during a planned stop may take beyond its typical run time.
// Calls of equal length have no deviation, so without it the last one accepted is cut if it is held up for a moment.
const interruptionReserve = 600 * time.Millisecond

// runTimes tracks how long the calls of each route take, from arrival to the end of the response. It
// is safe for concurrent use.
type runTimes struct {
	mutex  sync.Mutex
	routes map[string]*estimate.Duration
}

// record adds the duration of a call with a complete response.
func (r *runTimes) record(route string, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.routes == nil {
		r.routes = map[string]*estimate.Duration{}
	}
	durations := r.routes[route]
	if durations == nil {
		durations = &estimate.Duration{}
		r.routes[route] = durations
	}
	durations.Add(duration)
}

// typical returns the time within which most calls of a route finish; zero if none is known.
func (r *runTimes) typical(route string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	durations := r.routes[route]
	if durations == nil {
		return 0
	}
	return durations.UpperBound(runTimeDeviations)
}

// StopDeadlines are the time limits of a planned stop.
type StopDeadlines struct {
	// AcceptUntil is when the core stops accepting calls: by then callers have had time to switch to
	// other daemons.
	AcceptUntil time.Time
	// EndBy is when all calls must have ended.
	EndBy time.Time
}

// canFinish reports whether a call that arrives now should finish before the end of a planned stop; it
// is always true if none has begun.
func (c *Core) canFinish(call *Call, now time.Time) bool {
	stop := c.stopTimes.Load()
	if stop == nil {
		return true
	}
	return now.Before(stop.AcceptUntil) && !now.Add(c.times.typical(call.Route.Name)+interruptionReserve).After(stop.EndBy)
}

// checkStopping refuses a call that the daemon could not finish before it stops, so that the caller
// has time to try another daemon.
func (c *Core) checkStopping(call *Call) *failure.Error {
	if c.canFinish(call, time.Now()) {
		return nil
	}
	return failure.New(failure.Unavailable, "retry after the given time, on another connection", "daemon is stopping and could not finish the request in time").
		WithRetryAfter(defaultRetryAfter)
}
