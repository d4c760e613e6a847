package core

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/sleep"
)

// ReplicaPermitter shares out the messages that replicas with a limit take, over all daemons.
type ReplicaPermitter interface {
	// RequestPermit asks for the permission to send one message to a replica. It returns nil if the message
	// gets no turn in time, and why.
	RequestPermit(ctx context.Context, ask permit.Request) (ReplicaPermit, PermitDenial)
}

// PermitDenial says why a message gets no turn in time.
type PermitDenial struct {
	RetryIn time.Duration // when to ask again
	Source  string        // who said so, in log lines
}

// ReplicaPermit is the permission to send one message to a replica.
type ReplicaPermit interface {
	fleet.Permit
	// In returns how long it is until the turn.
	Delay() time.Duration
	// Return gives it back, unless it was used.
	Return()
	// Source names where it came from, in log lines.
	Source() string
}

// awaitTurn waits for the call's turn at a replica that was chosen for it, if that one takes a limited
// rate. Without a turn in time it withdraws the choice and notes when the replica may have one.
func (c *Core) awaitTurn(ctx context.Context, running *run, pick *fleet.Pick) (hasTurn bool) {
	if pick.PerSecond == 0 || c.Permits == nil {
		return true
	}
	granted, none := c.Permits.RequestPermit(ctx, permit.Request{
		Replica: pick.Incarnation, PerSecond: pick.PerSecond, Priority: running.Priority(), MaxWait: max(0, time.Until(inTime(running.Call))),
	})
	if granted == nil {
		pick.Cancel()
		running.turns.hold(heldBack{limitOf(pick), none.Source, time.Now().Add(max(leastPause, none.RetryIn))})
		return false
	}
	if wait := granted.Delay(); wait > 0 {
		if running.miss == fleet.Found {
			running.miss, running.estimate = fleet.RateLimited, wait
		}
		c.logTurn(running, limitOf(pick), waitDecision{wait: true, readyIn: wait, source: granted.Source()})
		sleep.For(ctx, wait)
	}
	running.permit = granted
	return true
}

// replicaLimit is the limit by which a call waits, or is refused.
type replicaLimit struct {
	replica   string
	perSecond float64
	heardAt   time.Time
}

func limitOf(pick *fleet.Pick) replicaLimit {
	return replicaLimit{pick.ID, pick.PerSecond, pick.LimitObservedAt}
}

// heldBack is a replica with a limit that has no turn for a call.
type heldBack struct {
	replicaLimit
	source    string
	notBefore time.Time
}

// turnless are the replicas that had no turn for a call, by id.
type turnless map[string]heldBack

func (t *turnless) hold(one heldBack) {
	if *t == nil {
		*t = turnless{}
	}
	(*t)[one.replica] = one
}

// notBefore returns when each of them may have a turn.
func (t turnless) notBefore() map[string]time.Time {
	at := make(map[string]time.Time, len(t))
	for id, one := range t {
		at[id] = one.notBefore
	}
	return at
}

// first returns the one that may have a turn first, of those that have none now.
func (t turnless) first(now time.Time) (first heldBack) {
	for _, one := range t {
		if one.notBefore.After(now) && (first.replica == "" || one.notBefore.Before(first.notBefore)) {
			first = one
		}
	}
	return first
}

// returnPermit gives back the call's permit, unless a dispatch has used it.
func (r *run) returnPermit() {
	if r.permit != nil {
		r.permit.Return()
		r.permit = nil
	}
}
