// Package core is the request core: it leads a request to its one end over one or
// more dispatches to replicas. It knows neither the interface that the caller
// speaks nor the protocol of the replicas.
package core

import (
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// Result is how one dispatch to a replica ended.
type Result int

// The results of a dispatch.
const (
	// Answered means that the whole answer went to the caller.
	Answered Result = iota
	// NotWritten means that nothing was sent to the replica.
	NotWritten
	// NotStarted means that the replica says that it did not start the request.
	NotStarted
	// Failed means that the replica answered with a failure of its own, none of
	// which went to the caller.
	Failed
	// Lost means that the request was sent and no answer came that could be passed
	// on.
	Lost
	// Broken means that part of the answer went to the caller and the rest did not
	// come.
	Broken
)

var resultNames = [...]string{"answered", "not_written", "not_started", "failed", "lost", "broken"}

// String returns the name used in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// maxDispatches bounds the dispatches of one request that a replica may have noticed.
const maxDispatches = 6

// Lifecycle is the pure state of one request: what may be said of its execution,
// and whether it may be dispatched again. It reads no clock.
type Lifecycle struct {
	Repeatable bool // may run more than once
	Resumable  bool // another replica may go on where an answer broke off
	// MaxRuns bounds the dispatches that may have run; zero sets no bound of its own.
	MaxRuns  int
	Deadline time.Time

	dispatches int
	runs       int  // dispatches that may have run
	mayHaveRun bool // a dispatch was lost
	partly     bool // the caller got part of an answer
	done       bool
}

// Verdict is what follows a dispatch.
type Verdict struct {
	Retry bool
	// Kind is the failure to answer with when neither done nor retried.
	Kind failure.Kind
	Done bool // answered
}

// After takes in the result of a dispatch. budget is asked for permission to
// retry, only if a retry is otherwise allowed and the replicas would notice it.
func (l *Lifecycle) RecordResult(now time.Time, result Result, budget func() bool) Verdict {
	if result != NotWritten {
		l.dispatches++
	}
	switch result {
	case Answered:
		l.done = true
		return Verdict{Done: true}
	case Broken:
		l.runs++
		l.partly = true
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
		return Verdict{Kind: l.failedAs(failure.DeadlineExceeded)}
	}
	if l.dispatches >= maxDispatches || (l.MaxRuns > 0 && l.runs >= l.MaxRuns) || !budget() {
		return Verdict{Kind: l.failedAs(failure.NoCapacity)}
	}
	return Verdict{Retry: true}
}

// failedAs turns a refusal's kind into one that is true after a dispatch that may
// have run.
func (l *Lifecycle) failedAs(kind failure.Kind) failure.Kind {
	switch {
	case l.partly:
		return failure.ResponseInterrupted
	case l.mayHaveRun:
		return failure.OutcomeUnknown
	}
	return kind
}

// MayHaveRun tells whether a replica may have begun the request.
func (l *Lifecycle) MayHaveRun() bool { return l.mayHaveRun || l.partly }

// Execution is what may truthfully be said.
func (l *Lifecycle) Execution() failure.Execution {
	switch {
	case l.done:
		return failure.Completed
	case l.partly:
		return failure.Partial
	case l.mayHaveRun:
		return failure.Unknown
	}
	return failure.NotRun
}
