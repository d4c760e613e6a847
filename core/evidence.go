package core

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
)

// Evidence is what the end of one dispatch shows of whether the replica ran the request. A caller is told that its request
// did not run only if every dispatch of the request ended with evidence of that.
type Evidence uint8

// Evidence of a dispatch.
const (
	// NoEvidence means that the replica may have run the request: it was written at least in part, and no response to it
	// states that it did not run.
	NoEvidence Evidence = iota
	// NotAdmitted means that this daemon decided not to write the request.
	NotAdmitted
	// NotConnected means that no connection to the replica opened.
	NotConnected
	// NothingWritten means that a connection was open, and failed before it took any byte of the request.
	NothingWritten
	// RejectedByReplica means that the replica's response states that it did not run the request.
	RejectedByReplica
	// AddressedToAnother means that the replica responded that the request is for another replica, or for a target that it
	// does not hold.
	AddressedToAnother
)

var evidenceNames = [...]string{"none", "not_admitted", "not_connected", "nothing_written", "rejected", "wrong_replica"}

// String returns the name used in logs and metrics.
func (e Evidence) String() string { return evidenceNames[e] }

// result returns the result of a dispatch that ended without a response to relay.
func (e Evidence) result() Result {
	switch e {
	case NotAdmitted, NotConnected, NothingWritten:
		return NotWritten
	case RejectedByReplica, AddressedToAnother:
		return NotStarted
	}
	return Lost
}

// maxLoggedEvidence bounds the dispatches whose evidence is in the last log line of a request.
const maxLoggedEvidence = 12

// evidenceText joins the evidence of the latest dispatches of a request by commas, oldest first.
func evidenceText(all []Evidence) string {
	var names []string
	for _, evidence := range all[max(0, len(all)-maxLoggedEvidence):] {
		names = append(names, evidence.String())
	}
	return strings.Join(names, ",")
}

// evidenceOfError returns the evidence of a dispatch for which the driver returned an error.
func evidenceOfError(err error) Evidence {
	var notAdmitted fleet.AdmissionError
	var failed *SendError
	switch {
	case errors.As(err, &notAdmitted):
		return NotAdmitted
	case !errors.As(err, &failed) || failed.RequestWritten:
		return NoEvidence
	case failed.Connection == "":
		return NotConnected
	}
	return NothingWritten
}

// evidenceOfReply returns the evidence of a replica's response.
func evidenceOfReply(disposition Disposition) Evidence {
	switch disposition {
	case Rejected:
		return RejectedByReplica
	case WrongReplica:
		return AddressedToAnother
	}
	return NoEvidence
}
