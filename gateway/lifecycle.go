package gateway

import (
	"time"

	"github.com/finchspoke/finchspoke/failure"
)

// dispatchResult is how one dispatch to an engine ended.
type dispatchResult int

const (
	// answered: the whole answer went to the caller.
	answered dispatchResult = iota
	// notWritten: nothing was sent to the engine.
	notWritten
	// notStarted: the engine says that it did not start the request.
	notStarted
	// lost: the request was sent and no answer came that could be passed on.
	lost
	// broken: part of the answer went to the caller and the rest did not come.
	broken
)

// maxDispatches bounds the dispatches of one request, lost ones and others.
const maxDispatches = 6

// lifecycle is the pure state of one request: what may be said of its execution,
// and whether it may be dispatched again. It reads no clock.
type lifecycle struct {
	repeatable bool // may run more than once
	deadline   time.Time
	dispatches int
	mayHaveRun bool // a dispatch was lost
	partly     bool // the caller got part of an answer
	done       bool
}

// verdict is what follows a dispatch.
type verdict struct {
	retry bool
	// kind is the failure to answer with when neither done nor retried.
	kind failure.Kind
	done bool // answered
}

// after takes in the result of a dispatch. budget is asked for permission to
// retry, only if a retry is otherwise allowed.
func (l *lifecycle) after(now time.Time, result dispatchResult, budget func() bool) verdict {
	l.dispatches++
	switch result {
	case answered:
		l.done = true
		return verdict{done: true}
	case broken:
		l.partly = true
		return verdict{kind: failure.AnswerBroken}
	case lost:
		l.mayHaveRun = true
		if !l.repeatable {
			return verdict{kind: failure.OutcomeUnknown}
		}
	}
	if !now.Before(l.deadline) {
		return verdict{kind: l.failedAs(failure.DeadlineExceeded)}
	}
	if l.dispatches >= maxDispatches || !budget() {
		return verdict{kind: l.failedAs(failure.NoCapacity)}
	}
	return verdict{retry: true}
}

// failedAs turns a refusal's kind into one that is true after a lost dispatch.
func (l *lifecycle) failedAs(kind failure.Kind) failure.Kind {
	if l.mayHaveRun {
		return failure.OutcomeUnknown
	}
	return kind
}

// execution is what may truthfully be said.
func (l *lifecycle) execution() failure.Execution {
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
