// Package core serves requests: it dispatches each to one or more replicas until it has a final
// result. It is independent of the caller's interface and of the replicas' protocol.
package core

import (
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// Result is the outcome of one dispatch to a replica.
type Result int

// Results of a dispatch.
const (
	// Answered means that the complete response was sent to the caller.
	Answered Result = iota
	// NotWritten means that nothing was sent to the replica.
	NotWritten
	// NotStarted means that the replica reported that it did not start the request.
	NotStarted
	// Failed means that the replica returned an error response, which was not relayed.
	Failed
	// Lost means that the request was sent, but no response arrived that could be relayed, or one that was interrupted
	// before any of it was sent to the caller.
	Lost
	// Broken means that only a part of the response was sent to the caller.
	Broken
)

var resultNames = [...]string{"answered", "not_written", "not_started", "failed", "lost", "broken"}

// String returns the name used in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// maxDispatches limits how often one request may be sent to replicas.
const maxDispatches = 6

// Lifecycle tracks whether one request may have run and whether it may be dispatched again. It does
// not read the clock.
type Lifecycle struct {
	Repeatable bool // may run more than once
	Resumable  bool // another replica may resume an interrupted response
	// MaxRuns limits the dispatches that may have run; zero means no limit besides maxDispatches.
	MaxRuns  int
	Deadline time.Time

	dispatches  int
	runs        int  // dispatches that may have run
	mayHaveRun  bool // a dispatch had the result Failed or Lost
	partialSent bool // part of a response was sent to the caller
	done        bool
}

// Verdict is the decision after a dispatch.
type Verdict struct {
	Retry bool
	// Kind is the kind of failure to return if the request is neither done nor retried.
	Kind failure.Kind
	Done bool // a complete response was sent
}

// RecordResult records the result of a dispatch and decides what follows. It calls allowRetry only if
// a retry is otherwise possible.
func (l *Lifecycle) RecordResult(now time.Time, result Result, allowRetry func() bool) Verdict {
	if result != NotWritten {
		l.dispatches++
	}
	switch result {
	case Answered:
		l.done = true
		return Verdict{Done: true}
	case Broken:
		l.runs++
		l.partialSent = true
		if !l.Resumable {
			return Verdict{Kind: failure.ResponseInterrupted}
		}
	case Failed, Lost:
		l.runs++
		l.mayHaveRun = true
		if !l.Repeatable && !l.Resumable {
			return Verdict{Kind: failure.OutcomeUnknown}
		}
	}
	if !now.Before(l.Deadline) {
		return Verdict{Kind: l.adjustKind(failure.DeadlineExceeded)}
	}
	if l.dispatches >= maxDispatches || (l.MaxRuns > 0 && l.runs >= l.MaxRuns) || !allowRetry() {
		return Verdict{Kind: l.adjustKind(failure.NoCapacity)}
	}
	return Verdict{Retry: true}
}

// adjustKind replaces a failure kind that would wrongly imply that the request did not run.
func (l *Lifecycle) adjustKind(kind failure.Kind) failure.Kind {
	switch {
	case l.partialSent:
		return failure.ResponseInterrupted
	case l.mayHaveRun:
		return failure.OutcomeUnknown
	}
	return kind
}

// MayHaveRun reports whether a replica may have started the request.
func (l *Lifecycle) MayHaveRun() bool { return l.mayHaveRun || l.partialSent }

// Execution returns what is known of the request's execution.
func (l *Lifecycle) Execution() failure.Execution {
	switch {
	case l.done:
		return failure.Completed
	case l.partialSent:
		return failure.Partial
	case l.mayHaveRun:
		return failure.Unknown
	}
	return failure.NotRun
}
