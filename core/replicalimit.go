package core

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/sleep"
)

// ReplicaPermitter grants permits for messages to rate-limited replicas, coordinated over all daemons.
type ReplicaPermitter interface {
	// RequestPermit requests a permit for one message to a replica. If no reservation is available in
	// time, it returns nil and the denial.
	RequestPermit(ctx context.Context, request permit.Request) (ReplicaPermit, PermitDenial)
}

// PermitDenial describes why no permit was granted.
type PermitDenial struct {
	RetryIn time.Duration // time after which to request again
	Source  string        // who denied the permit; used in log fields
}

// ReplicaPermit is a permit for one message to a replica.
type ReplicaPermit interface {
	fleet.Permit
	// Delay returns the time until the permit may be used.
	Delay() time.Duration
	// Return releases the permit unless it was used.
	Return()
	// Source names the granting party, for log fields.
	Source() string
}

// awaitReservation obtains a permit and waits until its reserved time if the chosen replica is
// rate-limited. If denied, it cancels the pick, records when the replica may accept the call, and
// returns false.
func (c *Core) awaitReservation(ctx context.Context, state *callState, pick *fleet.Pick) (permitted bool) {
	if pick.PerSecond == 0 || c.Permits == nil {
		return true
	}
	granted, denial := c.Permits.RequestPermit(ctx, permit.Request{
		Replica: pick.Incarnation, PerSecond: pick.PerSecond, Priority: state.Priority(), MaxWait: max(0, time.Until(reservationLimit(state.Call))),
	})
	if granted == nil {
		pick.Cancel()
		state.denied.add(deniedReplica{limitOf(pick), denial.Source, time.Now().Add(max(minPause, denial.RetryIn))})
		return false
	}
	if wait := granted.Delay(); wait > 0 {
		if state.miss == fleet.Found {
			state.miss, state.waitEstimate = fleet.RateLimited, wait
		}
		c.logReservation(state, limitOf(pick), waitDecision{wait: true, readyIn: wait, source: granted.Source()})
		sleep.For(ctx, wait)
	}
	state.permit = granted
	return true
}

// replicaLimit is the rate limit for which a call waits or is refused.
type replicaLimit struct {
	replica    string
	perSecond  float64
	observedAt time.Time
}

func limitOf(pick *fleet.Pick) replicaLimit {
	return replicaLimit{pick.ID, pick.PerSecond, pick.LimitObservedAt}
}

// deniedReplica is a rate-limited replica that denied a call.
type deniedReplica struct {
	replicaLimit
	source    string
	notBefore time.Time
}

// deniedReplicas are the replicas that denied a call, by id.
type deniedReplicas map[string]deniedReplica

func (d *deniedReplicas) add(denied deniedReplica) {
	if *d == nil {
		*d = deniedReplicas{}
	}
	(*d)[denied.replica] = denied
}

// notBefore returns when each replica may accept the call.
func (d deniedReplicas) notBefore() map[string]time.Time {
	times := make(map[string]time.Time, len(d))
	for id, denied := range d {
		times[id] = denied.notBefore
	}
	return times
}

// earliest returns the replica that may accept the call first, ignoring those that may do so now.
func (d deniedReplicas) earliest(now time.Time) (earliest deniedReplica) {
	for _, denied := range d {
		if denied.notBefore.After(now) && (earliest.replica == "" || denied.notBefore.Before(earliest.notBefore)) {
			earliest = denied
		}
	}
	return earliest
}

// returnPermit releases the call's permit unless a dispatch has used it.
func (s *callState) returnPermit() {
	if s.permit != nil {
		s.permit.Return()
		s.permit = nil
	}
}
