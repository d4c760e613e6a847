// Package failure defines the typed errors that reach callers and operators. Each has a kind and a
// remedy, and states whether the request ran.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind identifies a type of failure. Kinds are stable: clients and scripts may match them.
type Kind string

// The kinds of failure.
const (
	InvalidRequest      Kind = "invalid_request"
	Unauthenticated     Kind = "unauthenticated"
	ModelNotAllowed     Kind = "model_not_allowed"
	TooLarge            Kind = "too_large"
	HeadersTooLarge     Kind = "headers_too_large"
	LimitExceeded       Kind = "limit_exceeded"
	LimitUnknown        Kind = "limit_unknown"          // the tenant's usage could not be checked
	ConfigOutdated      Kind = "configuration_outdated" // the daemon's configuration is too old to authorize the request
	DeadlineTooShort    Kind = "deadline_too_short"
	DeadlineExceeded    Kind = "deadline_exceeded"
	NoCapacity          Kind = "no_capacity"
	Quarantined         Kind = "quarantined" // the request is suspected of crashing replicas
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

// Execution states whether a request ran, as far as that is known.
type Execution string

// The values of Execution.
const (
	// NotRun means that the request was never written to an engine, or that the engine confirmed that it
	// did not start.
	NotRun Execution = "not_run"
	// Partial means that the response started and is incomplete.
	Partial Execution = "partial"
	// Unknown means that the request may or may not have run.
	Unknown Execution = "unknown"
	// Completed means that the request ran to its end.
	Completed Execution = "completed"
)

// Error is a failure, with what a caller needs to handle it.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	Execution  Execution
	RetryAfter time.Duration // zero if unknown
	cause      error
}

// New returns an error for a request that did not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Execution: NotRun}
}

// Wrap returns an error for a request that did not run. It keeps the cause for logs.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) *Error {
	wrapped := New(kind, remedy, format, args...)
	wrapped.cause = errors.WithStack(cause)
	return wrapped
}

// WithExecution returns a copy with another Execution.
func (e *Error) WithExecution(execution Execution) *Error {
	changed := *e
	changed.Execution = execution
	return &changed
}

// WithRetryAfter returns a copy that advises the caller to retry after a delay.
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

// As returns err as an *Error. Any other error becomes Internal with an Unknown execution.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, "retry, and report it with the request id if it persists", "internal error").
		WithExecution(Unknown)
}

// Is reports whether err is a failure of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
