package core

import (
	"context"
	"net/http"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
)

// Quarantine knows under which requests replicas ended, over all attempts and daemons.
type Quarantine interface {
	// Withheld returns why a request must not go to a replica; nil if it may.
	Withheld(request quarantine.Fingerprint) *failure.Error
	// Broke takes in that the connection to a replica broke while it had a request. It returns
	// once the request may be withheld for that.
	ConnectionBroken(ctx context.Context, replica fleet.Incarnation, address string, request quarantine.Fingerprint)
	// Left takes in that a dispatch was given up while the replica had the request.
	Abandoned(replica fleet.Incarnation, address string, request quarantine.Fingerprint)
	// Served takes in that a replica served a request whole.
	Served(request quarantine.Fingerprint)
}

// withheld tells why the call must not go to a replica, or to another one; nil if it may. A
// retry is the most frequent way to the next replica, so it is asked before each dispatch.
func (c *Core) withheld(running *run) *failure.Error {
	if c.Quarantine == nil {
		return nil
	}
	failed := c.Quarantine.Withheld(running.Fingerprint)
	if failed != nil && running.life.MayHaveRun() {
		return c.ended(context.Background(), running, failure.OutcomeUnknown, failed)
	}
	return failed
}

// tellQuarantine passes on what a dispatch says of the call and the replica's process.
func (c *Core) tellQuarantine(try context.Context, running *run, pick *fleet.Pick, outcome dispatchOutcome) {
	switch {
	case c.Quarantine == nil:
	case outcome.result == Answered && outcome.status < http.StatusMultipleChoices:
		c.Quarantine.Served(running.Fingerprint)
	case outcome.result != Lost && outcome.result != Broken:
	case try.Err() != nil || outcome.health == fleet.Answered: // by the caller, or by us
		c.Quarantine.Abandoned(pick.Incarnation, pick.Address, running.Fingerprint)
	case outcome.health == fleet.Unreachable:
		c.Quarantine.ConnectionBroken(try, pick.Incarnation, pick.Address, running.Fingerprint)
	}
}
