package core

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/sleep"
)

// ReplicaPermits shares out the messages that replicas with a limit take, over all daemons.
type ReplicaPermits interface {
	// AskPermit asks for the permission to send one message to a replica. It returns nil if the message
	// gets no turn in time, and when to ask again.
	AskPermit(ctx context.Context, ask permit.Ask) (granted ReplicaPermit, retryIn time.Duration)
}

// ReplicaPermit is the permission to send one message to a replica.
type ReplicaPermit interface {
	fleet.Permit
	// In returns how long it is until the turn.
	In() time.Duration
	// Return gives it back, unless it was used.
	Return()
	// Source names where it came from, in log lines.
	Source() string
}

// awaitTurn waits for the call's turn at a replica that was chosen for it, if that one takes a limited
// rate. Without a turn in time it withdraws the choice and tells when the replica may have one.
func (c *Core) awaitTurn(ctx context.Context, running *run, pick *fleet.Pick) (notBefore time.Time, hasTurn bool) {
	if pick.PerSecond == 0 || c.Permits == nil {
		return time.Time{}, true
	}
	granted, retryIn := c.Permits.AskPermit(ctx, permit.Ask{
		Replica: pick.Incarnation, PerSecond: pick.PerSecond, Priority: running.Priority(), Patience: max(0, time.Until(inTime(running.Call))),
	})
	if granted == nil {
		pick.Withdraw()
		return time.Now().Add(max(leastPause, retryIn)), false
	}
	if wait := granted.In(); wait > 0 {
		if running.miss == fleet.Found {
			running.miss, running.estimate = fleet.AtLimit, wait
		}
		sleep.For(ctx, wait)
	}
	running.permit = granted
	return time.Time{}, true
}

// returnPermit gives back the call's permit, unless a dispatch has used it.
func (r *run) returnPermit() {
	if r.permit != nil {
		r.permit.Return()
		r.permit = nil
	}
}

// hold notes when a replica may have a turn.
func hold(notBefore map[string]time.Time, replica string, at time.Time) map[string]time.Time {
	if notBefore == nil {
		notBefore = map[string]time.Time{}
	}
	notBefore[replica] = at
	return notBefore
}

// firstTurn returns the replica that may have a turn first, of those that have none now.
func firstTurn(notBefore map[string]time.Time, now time.Time) (first fleet.Rest) {
	for replica, at := range notBefore {
		if at.After(now) && (first.Until.IsZero() || at.Before(first.Until)) {
			first = fleet.Rest{Replica: replica, Until: at}
		}
	}
	return first
}
