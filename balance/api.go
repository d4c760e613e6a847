// Package balance assigns requests to replicas by the time and the harm to expect, from a joint account
// of the prompts and streams that all daemons have sent. It has no clock and no I/O.
package balance

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/pace"
)

// DispatchID identifies one dispatch of a request to a replica over all daemons.
type DispatchID struct {
	Process string // the daemon's process
	Number  uint64 // unique within the process
}

// Candidate is a replica that can take a request.
type Candidate struct {
	Replica fleet.Incarnation
	Slots   int // requests it runs at once; zero means unknown
	// Penalty is the cost of the replica apart from its load, as time: zone, connection, failures.
	Penalty      time.Duration
	CachedTokens int // leading prompt tokens that its cache probably holds when it reads the prompt
	ReadTokens   int // leading prompt tokens that it has read already, so that others can get them

	transfer Transfer // that the assignment would plan
}

// Request asks for the replica of one dispatch.
type Request struct {
	ID           DispatchID
	Service      string
	Candidates   []Candidate
	PromptTokens int           // zero means unknown
	OutputTokens int           // expected; zero means unknown
	MaxGap       time.Duration // longest pause that the route allows; zero means no bound
	Slack        time.Duration // until the first byte is due; a late request is never held
	Priority     int           // 0 is the highest
	// TransferRate is how many cached tokens a second a replica gets from another one; zero means that
	// replicas do not do that.
	TransferRate float64
}

// Assignment is the replica for one dispatch.
type Assignment struct {
	Replica           fleet.Incarnation
	Delay             time.Duration // the daemon sends the request after it
	ExpectedFirstByte time.Duration // from now, with Delay and Penalty
	TokensPerSecond   float64       // the replica's estimated speed
	Reason            Reason
	// Transfer is the part of the prompt that the replica should get from another one.
	Transfer Transfer
}

// Reason is why an assignment is as it is.
type Reason uint8

// Reasons of assignments.
const (
	Quickest     Reason = iota // no stream should pause too long, and the first byte should be in time
	Spread                     // sent later, so that running streams do not pause too long
	LateAnyway                 // the first byte should be late on every candidate
	PausesAnyway               // streams should pause too long on every candidate
)

var reasonTexts = [...]string{"quickest", "spread", "late_anyway", "pauses_anyway"}

// String returns the reason as used in log fields.
func (r Reason) String() string { return reasonTexts[r] }

// IsReason reports whether a text is that of a reason.
func IsReason(text string) bool { return slices.Contains(reasonTexts[:], text) }

// Running is a dispatch that a daemon has sent and that has not ended.
type Running struct {
	Number       uint64
	Service      string
	Replica      fleet.Incarnation
	PromptTokens int           // without those that the replica's cache probably held
	Read         bool          // the first byte has arrived
	MaxGap       time.Duration // as in Request
	Priority     int           // as in Request
	Age          time.Duration // since it was sent
}

// Estimate is the speed of a replica.
type Estimate = pace.Estimate
