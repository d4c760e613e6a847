package core

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/estimate"
	"github.com/finchspoke/finchspoke/failure"
)

// finishDeviations are allowed for beyond the mean. With four, as TCP's retransmission timer has,
// a stop refused 28 to 151 requests that it would have finished, on days of 12 and 18 stops; with
// one, 0 to 8 (docs/design/stops.md).
const finishDeviations = 1

// runTimes learn how long the calls of each route take, from their arrival to the end of their
// answers. They are safe for concurrent use.
type runTimes struct {
	mutex  sync.Mutex
	routes map[string]*estimate.Duration
}

// ran takes in a call that was answered whole.
func (r *runTimes) ran(route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.routes == nil {
		r.routes = map[string]*estimate.Duration{}
	}
	known := r.routes[route]
	if known == nil {
		known = &estimate.Duration{}
		r.routes[route] = known
	}
	known.Add(took)
}

// usual returns how long most calls of a route take, as far as was seen; zero if none was.
func (r *runTimes) usual(route string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := r.routes[route]
	if seen == nil {
		return 0
	}
	return seen.UpperBound(finishDeviations)
}

// StopTimes bound what a stopping daemon takes.
type StopTimes struct {
	// AcceptUntil is when callers have had the time to go elsewhere: what they send later, on
	// connections that they kept, is refused.
	AcceptUntil time.Time
	// EndBy is when calls must have ended.
	EndBy time.Time
}

// finishes tells whether a call that comes while the daemon stops should have its whole answer
// in what is left of the time.
func (c *Core) finishes(call *Call, now time.Time) bool {
	stop := c.stopTimes.Load()
	if stop == nil {
		return true
	}
	return now.Before(stop.AcceptUntil) && !now.Add(c.times.usual(call.Route.Name)).After(stop.EndBy)
}

// stopRefusal refuses a call that the daemon could not finish before it ends: it would be cut,
// and another daemon has the time.
func (c *Core) stopRefusal(call *Call) *failure.Error {
	if c.finishes(call, time.Now()) {
		return nil
	}
	return failure.New(failure.Unavailable, "come back after the time given, on another connection", "the daemon stops before the request would be answered").
		WithRetryAfter(retrySoon)
}
