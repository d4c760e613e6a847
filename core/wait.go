package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

const (
	// looseEnd is kept between the end of a wait and the time it must end by, for
	// the answer to begin.
	looseEnd = 200 * time.Millisecond
	// wordTime is how long a call waits for word of a load before it is judged by
	// the catalogue's times, as a share of its objective at most.
	wordTime         = 150 * time.Millisecond
	wordShare        = 4
	adapterLoadGuess = 250 * time.Millisecond
	// decisionGuess is added to a load's own time before it was ordered.
	decisionGuess = 300 * time.Millisecond
	// noReplicaShare is the share of the objective that a call waits for a service
	// that has no replica.
	noReplicaShare = 4
	// unknownShare is the share of a caller's patience that a call waits for a load
	// that nobody is known to have begun.
	unknownShare = 0.4
	recheck      = 200 * time.Millisecond
	// leastPause is the least time between two looks for a turn.
	leastPause = time.Millisecond
	// untoldTime is how long a call waits for word of the replicas that serve its target, and
	// untoldShare the share of its caller's patience that it waits at most. Within that time a
	// daemon gives up a directory that is silent and asks another.
	untoldTime  = 2 * time.Second
	untoldShare = 0.4
	// crowdedPause is the advice to callers when all replicas that could serve are
	// crowded.
	crowdedPause = time.Second
)

// patience returns until when a caller waits for the first byte: streams are given
// up after a silence that the route's times set.
func patience(call *Call) time.Time {
	if call.Route.Kind != routing.Stream {
		return call.Deadline
	}
	const (
		leastSilence     = 2 * time.Second
		silentObjectives = 4
		silentGaps       = 8
	)
	silence := max(leastSilence, silentObjectives*call.Route.Objective, silentGaps*call.Route.MaxGap)
	until := call.Arrived.Add(silence)
	if until.After(call.Deadline) {
		return call.Deadline
	}
	return until
}

// inTime returns until when a call may wait for its turn at a replica, to be answered within its
// objective.
func inTime(call *Call) time.Time {
	objective := call.Route.Objective
	return call.Arrived.Add(objective - min(looseEnd, objective/2))
}

// waitDecision is what to do with a call that no replica can take now.
type waitDecision struct {
	wait    bool
	readyIn time.Duration // the estimate it was decided by
	source  string        // where the estimate came from
}

// decideWait decides whether a call waits on or is refused. expected is when its
// target will be loaded, if that is known.
func decideWait(now time.Time, call *Call, miss fleet.Miss, expected time.Time, known bool, guess loadEstimate) waitDecision {
	until := patience(call)
	switch miss {
	case fleet.NoReplica:
		grace := call.Arrived.Add(call.Route.Objective / noReplicaShare)
		return waitDecision{wait: now.Before(grace), readyIn: retrySoon, source: "no_replica"}
	case fleet.Undiscovered:
		// The word comes within a round trip, or the daemons that could give it are lost.
		grace := min(untoldTime, time.Duration(untoldShare*float64(until.Sub(call.Arrived))))
		return waitDecision{wait: now.Before(call.Arrived.Add(grace)), readyIn: retrySoon, source: miss.String()}
	case fleet.AllTried:
		// Better the same replicas again, after a pause, than none.
		return waitDecision{wait: now.Add(recheck + looseEnd).Before(until), readyIn: retrySoon, source: miss.String()}
	case fleet.Saturated:
		// What waits at replicas past its caller's patience only keeps others from being
		// served. Another copy may be on its way.
		decision := waitDecision{readyIn: crowdedPause, source: miss.String()}
		if known {
			decision.readyIn, decision.source = max(retrySoon, expected.Sub(now)), "order_holder"
			decision.wait = expected.Add(looseEnd).Before(until)
		}
		return decision
	case fleet.BackingOff:
		// The rest is from this daemon alone: the caller is served in time here, or sooner at another.
		// Of 1,000 requests with an objective of 0.6 s, 565 are in time; 294 if all wait while their
		// callers do, though 98 more are served at last (model in rest_model_test.go).
		if expected.Add(looseEnd).Before(call.Arrived.Add(call.Route.Objective)) {
			return waitDecision{wait: true, readyIn: max(0, expected.Sub(now)), source: miss.String()}
		}
		return waitDecision{readyIn: retrySoon, source: miss.String()}
	case fleet.RateLimited:
		// Of what comes beyond the limit some are served late or not at all, whoever waits: those are
		// served that still are in time, and the others are told when the line has a turn.
		decision := waitDecision{readyIn: max(0, expected.Sub(now)), source: miss.String()}
		decision.wait = expected.Before(inTime(call))
		return decision
	case fleet.NotLoaded, fleet.AdapterNotLoaded:
	}
	decision := waitDecision{readyIn: guess.takes, source: guess.source}
	if known {
		decision.readyIn, decision.source = max(0, expected.Sub(now)), "order_holder"
	} else if now.Before(call.Arrived.Add(min(wordTime, call.Route.Objective/wordShare))) {
		decision.wait = true
		return decision
	}
	if now.Sub(call.Arrived) > decision.readyIn && !known {
		// The guess has passed: only the caller's patience counts.
		decision.readyIn = 0
	}
	decision.wait = now.Add(decision.readyIn + looseEnd).Before(until)
	if !known && now.Sub(call.Arrived) > time.Duration(unknownShare*float64(until.Sub(call.Arrived))) {
		// Nobody has begun the load: better to come back than to be held to the end.
		decision.wait, decision.readyIn, decision.source = false, guess.takes, "not_begun"
	}
	return decision
}

// loadEstimate is how long a load should take that nobody is known to have begun.
type loadEstimate struct {
	takes  time.Duration
	source string
}

// Sources of estimates, in log lines.
const (
	sourceCatalogue = "catalogue"
	sourceKept      = "kept"
)

// estimateLoad returns how long a load of what a call lacks should take. Where a replica keeps
// the weights it is a load from there, while somebody is there to order it; of what is waited
// for without an order holder nothing comes.
func (c *Core) estimateLoad(call *Call, miss fleet.Miss, now time.Time) loadEstimate {
	if miss == fleet.AdapterNotLoaded {
		return loadEstimate{adapterLoadGuess, sourceCatalogue}
	}
	if call.Service.Engine == nil {
		return loadEstimate{decisionGuess, sourceCatalogue}
	}
	model := call.Service.Engine.Models[call.Target.Model]
	if model == nil {
		return loadEstimate{decisionGuess, sourceCatalogue}
	}
	if miss == fleet.NotLoaded && c.LeaderAttached != nil && c.LeaderAttached() {
		times := fleet.LoadTimes{FromMemory: model.MemoryLoadTime, FromDisk: model.DiskLoadTime}
		if in, kept := c.Fleet.CachedLoadTime(call.Service.Name, model.Name, times, now); kept && in < model.StoreLoadTime {
			return loadEstimate{in + decisionGuess, sourceKept}
		}
	}
	return loadEstimate{model.StoreLoadTime + decisionGuess, sourceCatalogue}
}

// await returns the replica for the next dispatch, waiting for one if that is worth
// it; otherwise the failure that ends the call.
func (c *Core) await(ctx context.Context, running *run) (*fleet.Pick, *failure.Error) {
	ask := fleet.Ask{Service: running.Service.Name, Target: running.Target, Prefix: running.Prefix, Tried: running.tried, PromptTokens: running.PromptTokens}
	waiting := waiting{}
	defer waiting.end()
	began := time.Now()
	defer func() { running.waited += time.Since(began) }()
	for {
		if failed := c.withheld(running); failed != nil {
			return nil, failed
		}
		changed := c.Fleet.Changed(running.Service.Name, running.Target)
		now := time.Now()
		ask.MaxQueueTime = patience(running.Call).Sub(now)
		pick, miss := c.Fleet.Choose(ask, now)
		if pick != nil {
			if c.awaitTurn(ctx, running, pick) {
				return c.chosen(ctx, running, pick)
			}
			ask.NotBefore = running.turns.notBefore()
			continue
		}
		met := c.obstacleOf(running, miss, now)
		decision := c.decide(running, met, now)
		if waiting.begins(miss) {
			waiting.stop = c.Demand.BeginWait(running.key(), now)
			c.noteWait(running, met, decision)
		}
		if !decision.wait {
			return nil, c.refused(running, miss, decision)
		}
		pause := met.recheckIn(now)
		select {
		case <-ctx.Done():
			return nil, c.ended(ctx, running, failure.DeadlineExceeded, errors.New(miss.String()))
		case <-c.stopping:
		case <-changed:
		case <-time.After(pause):
			if pause == recheck {
				ask.Tried = nil
			}
		}
	}
}

// missing returns what has to be loaded first for a target.
func missing(target fleet.Target, miss fleet.Miss) fleet.Target {
	if miss == fleet.NotLoaded {
		return fleet.Target{Model: target.Model}
	}
	return target
}

// refused is the failure of a call that is not worth waiting for.
func (c *Core) refused(running *run, miss fleet.Miss, decision waitDecision) *failure.Error {
	if running.life.MayHaveRun() {
		return c.ended(context.Background(), running, failure.OutcomeUnknown, errors.New(miss.String()))
	}
	return failure.New(failure.NoCapacity, "come back after the time given", "no replica of %s can take the request in time: %s",
		running.Service.Name, miss).WithRetryAfter(max(retrySoon, decision.readyIn))
}
