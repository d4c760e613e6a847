package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
)

// waiting is a call's part of the demand while no replica can take it.
type waiting struct{ stop func() }

// begins tells whether the call is to be counted from now on. What is loaded already, and merely not told
// yet, is no demand for a load.
func (w *waiting) begins(miss fleet.Miss) bool { return w.stop == nil && miss != fleet.Undiscovered }

func (w *waiting) end() {
	if w.stop != nil {
		w.stop()
	}
}

// chosen returns a replica whose turn has come, unless the call has ended in its wait for it.
func (c *Core) chosen(ctx context.Context, running *run, pick *fleet.Pick) (*fleet.Pick, *failure.Error) {
	if ctx.Err() == nil {
		return pick, nil
	}
	pick.Cancel()
	running.returnPermit()
	return nil, c.ended(ctx, running, failure.DeadlineExceeded, errors.New(fleet.RateLimited.String()))
}

// obstacle is why no replica can take a call now.
type obstacle struct {
	miss fleet.Miss
	// until is when it should be over, if that is known.
	until time.Time
	known bool
	// resting is the replica that asked for rest; empty: none did.
	resting string
	// held is the replica that has no turn for the call; empty: none is at its limit.
	held heldBack
}

// obstacleOf returns why no replica can take a call now, and when one will.
func (c *Core) obstacleOf(running *run, miss fleet.Miss, now time.Time) obstacle {
	met := obstacle{miss: miss}
	met.until, met.known = c.Fleet.ExpectedLoad(running.Service.Name, missing(running.Target, miss), now)
	switch miss {
	case fleet.BackingOff:
		if rest, rests := c.Fleet.EarliestBackoff(running.Service.Name, running.Target, now); rests {
			met.resting = rest.Replica
			met.sooner(rest.Until)
		}
	case fleet.RateLimited:
		met.held = running.turns.first(now)
		met.sooner(met.held.notBefore)
	}
	return met
}

// sooner takes in that a replica takes the call again from a moment on, unless a load ends before.
func (o *obstacle) sooner(at time.Time) {
	if !o.known || at.Before(o.until) {
		o.until, o.known = at, true
	}
}

// recheckIn returns when to look again, though nothing changes.
func (o *obstacle) recheckIn(now time.Time) time.Duration {
	if o.miss == fleet.RateLimited {
		return min(recheck, max(leastPause, o.until.Sub(now)))
	}
	return recheck
}

// decide decides whether a call waits on or is refused.
func (c *Core) decide(running *run, met obstacle, now time.Time) waitDecision {
	var guess loadEstimate
	if !met.known { // looking at all replicas is not needed where the holder told
		guess = c.estimateLoad(running.Call, met.miss, now)
	}
	decision := decideWait(now, running.Call, met.miss, met.until, met.known, guess)
	if met.miss == fleet.RateLimited {
		decision.source = met.held.source
	}
	if c.isStopping() {
		// Another daemon waits as well, and has the time to serve.
		decision.wait, decision.readyIn, decision.source = false, 0, "stopping"
	}
	return decision
}

// noteWait notes that a call could not be served at once, and what was decided.
func (c *Core) noteWait(running *run, met obstacle, decision waitDecision) {
	if decision.wait && running.estimate == 0 {
		running.estimate = decision.readyIn
	}
	if running.miss == fleet.Found {
		running.miss = met.miss
	}
	if met.miss == fleet.RateLimited {
		c.logTurn(running, met.held.replicaLimit, decision)
		return
	}
	c.logWait(running, met.miss, decision, met.resting)
}
