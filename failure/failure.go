// Package failure defines the typed errors of finchspoke. Every error that
// reaches a caller or an operator has a kind, says whether the request ran, and
// names a remedy.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind names a class of failure. Kinds are stable: scripts may match on them.
type Kind string

// The kinds of failure.
const (
	InvalidRequest      Kind = "invalid_request"
	Unauthenticated     Kind = "unauthenticated"
	ModelNotAllowed     Kind = "model_not_allowed"
	TooLarge            Kind = "too_large"
	HeadersTooLarge     Kind = "headers_too_large"
	LimitExceeded       Kind = "limit_exceeded"
	LimitUnknown        Kind = "limit_unknown"          // nobody tells whether the limit has room
	ConfigOutdated      Kind = "configuration_outdated" // too old to judge the request by
	DeadlineTooShort    Kind = "deadline_too_short"
	DeadlineExceeded    Kind = "deadline_exceeded"
	NoCapacity          Kind = "no_capacity"
	Quarantined         Kind = "quarantined" // replicas ended while they had the request
	CallerDisconnected  Kind = "caller_left"
	ResponseInterrupted Kind = "answer_broken"
	OutcomeUnknown      Kind = "outcome_unknown"
	KeyInUse            Kind = "idempotency_key_in_use"
	KeyReused           Kind = "idempotency_key_reused"
	ClaimUnavailable    Kind = "claim_unavailable"
	InvalidSettings     Kind = "invalid_settings"
	SettingsConflict    Kind = "settings_conflict"
	SettingsUncertain   Kind = "settings_uncertain"
	InvalidConfig       Kind = "invalid_config"
	Unavailable         Kind = "unavailable"
	Internal            Kind = "internal"
)

// Execution says what is known about whether a request ran.
type Execution string

// The states of knowledge about a request's execution.
const (
	// NotRun is only said when no dispatch was ever written to an engine, or
	// the engine confirmed that it did not start.
	NotRun Execution = "not_run"
	// Partial means that the answer began and did not end.
	Partial Execution = "partial"
	// Unknown means that the request may or may not have run.
	Unknown Execution = "unknown"
	// Completed means that the request ran to its end.
	Completed Execution = "completed"
)

// Error is a failure with what a caller needs to act on it.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	Execution  Execution
	RetryAfter time.Duration // zero when there is no advice
	cause      error
}

// New makes an error of a kind that did not run anything.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Execution: NotRun}
}

// Wrap makes an error of a kind that keeps its cause for logs.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) *Error {
	wrapped := New(kind, remedy, format, args...)
	wrapped.cause = errors.WithStack(cause)
	return wrapped
}

// WithExecution returns a copy that says what is known about execution.
func (e *Error) WithExecution(execution Execution) *Error {
	changed := *e
	changed.Execution = execution
	return &changed
}

// WithRetryAfter returns a copy that advises when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// Error returns the message, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += " (remedy: " + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// As returns err as an *Error. An error of another type becomes Internal with
// an unknown execution, since nothing is known about it.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, "retry, and report it with the request id if it persists", "internal error").
		WithExecution(Unknown)
}

// Is tells whether err is a failure of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
