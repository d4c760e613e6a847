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
	// responseStartMargin is reserved after a wait for the response to begin.
	responseStartMargin = 200 * time.Millisecond
	// loadReportWait is how long a call waits for a report of a load before the catalogue's load times
	// apply; at most the objective divided by loadReportDivisor.
	loadReportWait         = 150 * time.Millisecond
	loadReportDivisor      = 4
	defaultAdapterLoadTime = 250 * time.Millisecond
	// defaultDecisionTime is the assumed time until the leader orders a load that is not in progress.
	defaultDecisionTime = 300 * time.Millisecond
	// noReplicaDivisor divides the objective to get the wait for a service without replicas.
	noReplicaDivisor = 4
	// unorderedLoadShare is the share of the wait limit spent on a load that is not known to be in
	// progress.
	unorderedLoadShare = 0.4
	recheckInterval    = 200 * time.Millisecond
	// minPause is the minimum time between two attempts to get a reservation.
	minPause = time.Millisecond
	// maxDiscoveryWait is how long a call waits for the records of replicas that serve its target, up
	// to discoveryWaitShare of its wait limit. It suffices to replace an unresponsive directory.
	maxDiscoveryWait   = 2 * time.Second
	discoveryWaitShare = 0.4
	// saturatedRetryAfter is the retry advice when all suitable replicas are saturated.
	saturatedRetryAfter = time.Second
)

// waitLimit returns the time by which the first byte must be sent. Callers are assumed to give up a
// silent stream after a time derived from the route.
func waitLimit(call *Call) time.Time {
	if call.Route.Kind != routing.Stream {
		return call.Deadline
	}
	const (
		minSilence       = 2 * time.Second
		silentObjectives = 4
		silentGaps       = 8
	)
	maxSilence := max(minSilence, silentObjectives*call.Route.Objective, silentGaps*call.Route.MaxGap)
	giveUpAt := call.Arrived.Add(maxSilence)
	if giveUpAt.After(call.Deadline) {
		return call.Deadline
	}
	return giveUpAt
}

// reservationLimit returns the latest time for a reservation that still meets the call's objective.
func reservationLimit(call *Call) time.Time {
	objective := call.Route.Objective
	return call.Arrived.Add(objective - min(responseStartMargin, objective/2))
}

// waitDecision is the decision on a call that no replica can take now.
type waitDecision struct {
	wait    bool
	readyIn time.Duration // estimated time until a replica can take the call
	source  string        // origin of the estimate, for log fields
}

// decideWait decides whether a call keeps waiting or is refused. expected is when the constraint that
// causes the miss should end, if expectedKnown is set.
func decideWait(now time.Time, call *Call, miss fleet.Miss, expected time.Time, expectedKnown bool, estimate loadEstimate) waitDecision {
	waitUntil := waitLimit(call)
	switch miss {
	case fleet.NoReplica:
		grace := call.Arrived.Add(call.Route.Objective / noReplicaDivisor)
		return waitDecision{wait: now.Before(grace), readyIn: defaultRetryAfter, source: "no_replica"}
	case fleet.Undiscovered:
		// The records arrive within a round trip unless no directory daemon responds.
		grace := min(maxDiscoveryWait, time.Duration(discoveryWaitShare*float64(waitUntil.Sub(call.Arrived))))
		return waitDecision{wait: now.Before(call.Arrived.Add(grace)), readyIn: defaultRetryAfter, source: miss.String()}
	case fleet.AllTried:
		// After a pause the same replicas are tried again, which is better than to refuse the call.
		return waitDecision{wait: now.Add(recheckInterval + responseStartMargin).Before(waitUntil), readyIn: defaultRetryAfter, source: miss.String()}
	case fleet.Saturated:
		// A call that waits after its caller has given up only delays other requests. It waits only if a
		// load in progress adds a replica in time.
		decision := waitDecision{readyIn: saturatedRetryAfter, source: miss.String()}
		if expectedKnown {
			decision.readyIn, decision.source = max(defaultRetryAfter, expected.Sub(now)), "order_holder"
			decision.wait = expected.Add(responseStartMargin).Before(waitUntil)
		}
		return decision
	case fleet.VersionNotServing:
		return waitDecision{source: miss.String()}
	case fleet.VersionNotLoaded:
		if !expectedKnown && estimate.source == "" {
			return waitDecision{source: miss.String()} // no load at the version can be expected
		}
	case fleet.BackingOff:
		// The back-off concerns only this daemon: unless the call can still meet its objective here,
		// its caller is better served by another daemon.
		if expected.Add(responseStartMargin).Before(call.Arrived.Add(call.Route.Objective)) {
			return waitDecision{wait: true, readyIn: max(0, expected.Sub(now)), source: miss.String()}
		}
		return waitDecision{readyIn: defaultRetryAfter, source: miss.String()}
	case fleet.RateLimited:
		// Above the rate limit some requests cannot be served in time. Those that still can wait; the
		// others are refused with the time of the next reservation.
		decision := waitDecision{readyIn: max(0, expected.Sub(now)), source: miss.String()}
		decision.wait = expected.Before(reservationLimit(call))
		return decision
	case fleet.NotLoaded, fleet.AdapterNotLoaded:
	}
	decision := waitDecision{readyIn: estimate.duration, source: estimate.source}
	if expectedKnown {
		decision.readyIn, decision.source = max(0, expected.Sub(now)), "order_holder"
	} else if miss != fleet.VersionNotLoaded && now.Before(call.Arrived.Add(min(loadReportWait, call.Route.Objective/loadReportDivisor))) {
		decision.wait = true
		return decision
	}
	if now.Sub(call.Arrived) > decision.readyIn && !expectedKnown {
		// The estimated time has passed without a report, so only the wait limit applies.
		decision.readyIn = 0
	}
	decision.wait = now.Add(decision.readyIn + responseStartMargin).Before(waitUntil)
	if !expectedKnown && now.Sub(call.Arrived) > time.Duration(unorderedLoadShare*float64(waitUntil.Sub(call.Arrived))) {
		// No load is known to be in progress, so the caller is refused early enough to retry.
		decision.wait, decision.readyIn, decision.source = false, estimate.duration, "not_begun"
	}
	return decision
}

// loadEstimate is the estimated duration of a load that is not known to be in progress.
type loadEstimate struct {
	duration time.Duration
	source   string // empty: no load can be expected
}

// Sources of estimates, used in log fields.
const (
	sourceCatalogue = "catalogue"
	sourceCached    = "kept"
)

// estimateLoad estimates the duration of the load that a call needs. It uses cached weights only while
// a leader is attached, since nobody orders the load otherwise.
func (c *Core) estimateLoad(call *Call, miss fleet.Miss, now time.Time) loadEstimate {
	if miss == fleet.AdapterNotLoaded {
		return loadEstimate{defaultAdapterLoadTime, sourceCatalogue}
	}
	if call.Service.Engine == nil {
		return loadEstimate{defaultDecisionTime, sourceCatalogue}
	}
	model := call.Service.Engine.Models[call.Target.Model]
	if model == nil {
		return loadEstimate{defaultDecisionTime, sourceCatalogue}
	}
	if miss == fleet.NotLoaded && c.LeaderAttached != nil && c.LeaderAttached() {
		requirements := fleet.Query{Service: call.Service.Name, Target: fleet.Target{Model: model.Name}}
		if duration, cached := c.Fleet.CachedLoadTime(requirements, cachedLoadTimes(model), now); cached && duration < model.StoreLoadTime {
			return loadEstimate{duration + defaultDecisionTime, sourceCached}
		}
	}
	return loadEstimate{model.StoreLoadTime + defaultDecisionTime, sourceCatalogue}
}

func cachedLoadTimes(model *routing.Model) fleet.LoadTimes {
	return fleet.LoadTimes{FromMemory: model.MemoryLoadTime, FromDisk: model.DiskLoadTime}
}

// estimateVersionLoad estimates the duration of the load that a call needs at its software version: of its adapter on
// a replica that has the model, or of the model from cached weights. Without a leader nobody orders a load.
func (c *Core) estimateVersionLoad(state *callState, now time.Time) loadEstimate {
	if state.Service.Engine == nil || c.LeaderAttached == nil || !c.LeaderAttached() {
		return loadEstimate{}
	}
	model := state.Service.Engine.Models[state.Target.Model]
	if model == nil {
		return loadEstimate{}
	}
	adapterTime := time.Duration(0)
	requirements := fleet.Query{Service: state.Service.Name, Target: fleet.Target{Model: model.Name}, Version: state.requiredVersion}
	if state.Target.Adapter != "" {
		adapterTime = defaultAdapterLoadTime + defaultDecisionTime
		if freeIn, loaded := c.Fleet.ModelFreeIn(requirements, now); loaded {
			return loadEstimate{freeIn + adapterTime, sourceCatalogue}
		}
		if ready, expected := c.Fleet.ExpectedLoad(requirements, now); expected {
			return loadEstimate{max(0, ready.Sub(now)) + adapterTime, sourceCatalogue}
		}
	}
	if duration, cached := c.Fleet.CachedLoadTime(requirements, cachedLoadTimes(model), now); cached {
		return loadEstimate{duration + defaultDecisionTime + adapterTime, sourceCached}
	}
	return loadEstimate{}
}

// awaitReplica returns the replica for the next dispatch, waiting for one if that is worthwhile, or
// the failure that ends the call.
func (c *Core) awaitReplica(ctx context.Context, state *callState) (*fleet.Pick, *failure.Error) {
	requirements := fleet.Query{Service: state.Service.Name, Target: state.Target, Prefix: state.Prefix, Tried: state.tried, PromptTokens: state.PromptTokens, Version: state.requiredVersion}
	demandWait := demandWait{}
	defer demandWait.end()
	startedAt := time.Now()
	defer func() { state.waitTime += time.Since(startedAt) }()
	for {
		if failed := c.awaitQuarantine(ctx, state); failed != nil {
			return nil, failed
		}
		changed := c.Fleet.Changed(state.Service.Name, state.Target)
		now := time.Now()
		requirements.MaxQueueTime = waitLimit(state.Call).Sub(now)
		pick, miss := c.choose(ctx, state, requirements, now)
		if pick != nil {
			if c.awaitReservation(ctx, state, pick) {
				return c.checkCallActive(ctx, state, pick)
			}
			requirements.NotBefore = state.denied.notBefore()
			continue
		}
		constraint := c.findConstraint(state, miss, now)
		decision := c.decide(state, constraint, now)
		if demandWait.starts(miss) {
			c.recordWait(state, constraint, decision)
		}
		demandWait.record(c.Demand, state, miss, decision, now)
		if !decision.wait {
			return nil, c.capacityFailure(state, miss, decision)
		}
		pause := constraint.recheckIn(now)
		select {
		case <-ctx.Done():
			return nil, c.finalFailure(ctx, state, failure.DeadlineExceeded, errors.New(miss.String()))
		case <-c.stopping:
		case <-changed:
		case <-time.After(pause):
			if pause == recheckInterval {
				requirements.Tried = nil
			}
		}
	}
}

// requiredLoad returns what must be loaded first to serve a target.
func requiredLoad(target fleet.Target, miss fleet.Miss) fleet.Target {
	if miss == fleet.NotLoaded {
		return fleet.Target{Model: target.Model}
	}
	return target
}

// versionUnavailable returns the failure of a call whose stream no replica of its software version can continue.
func versionUnavailable(state *callState, miss fleet.Miss) *failure.Error {
	return failure.New(failure.NoCapacity, "send the request without "+lastEventRemedy, "no replica of %s can continue a stream that software version %q began: %s",
		state.Service.Name, *state.requiredVersion, miss).WithRetryAfter(defaultRetryAfter)
}

// lastEventRemedy completes the remedies of resumed streams that cannot go on.
const lastEventRemedy = "the id of the last event, so that its stream begins anew"

// capacityFailure returns the failure of a call for which waiting is not worthwhile.
func (c *Core) capacityFailure(state *callState, miss fleet.Miss, decision waitDecision) *failure.Error {
	if state.lifecycle.MayHaveRun() {
		return c.finalFailure(context.Background(), state, failure.OutcomeUnknown, errors.New(miss.String()))
	}
	if miss == fleet.VersionNotServing || miss == fleet.VersionNotLoaded {
		return versionUnavailable(state, miss)
	}
	return failure.New(failure.NoCapacity, "retry after the given time", "no replica of %s can take the request in time: %s",
		state.Service.Name, miss).WithRetryAfter(max(defaultRetryAfter, decision.readyIn))
}
