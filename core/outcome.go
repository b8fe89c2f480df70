package core

import (
	"fmt"
	"strings"
	"time"
)

// OutcomeKind classifies how a request ended.
type OutcomeKind uint8

// Outcomes of requests and of non-repeatable calls.
const (
	// OutcomeUnknown means that the call may or may not have run.
	OutcomeUnknown OutcomeKind = iota
	// OutcomeDone means that the call ran and its answer is known.
	OutcomeDone
	// OutcomeNotRun means that the call has not run and never will.
	OutcomeNotRun
	// OutcomeInProgress means that an instance has claimed the call's operation key and
	// the result is not yet known, or that a stream was handed over to another instance.
	OutcomeInProgress
	// OutcomeCut means that a stream ended before its terminal event.
	OutcomeCut
)

var outcomeNames = [...]string{"Unknown", "Done", "NotRun", "InProgress", "Cut"}

// String returns the outcome's name.
func (k OutcomeKind) String() string {
	if int(k) < len(outcomeNames) {
		return outcomeNames[k]
	}
	return "Unknown"
}

// MarshalText encodes the outcome as its name.
func (k OutcomeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes an outcome name.
func (k *OutcomeKind) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*k = OutcomeKind(i)
			return nil
		}
	}
	return &InvalidValueError{Value: string(text), Accepted: outcomeNames[:]}
}

// Refusal is the typed body of an error answer to a caller.
type Refusal struct {
	// Kind is a stable name for programs, such as "UnknownModel".
	Kind    string
	Message string
	// NotRun is true when the request was not run and never will be.
	NotRun bool
	// RetryAfterMs is the time after which the caller should retry, in milliseconds;
	// 0 means that a retry will not help.
	RetryAfterMs int64 `json:",omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error returns the kind and message.
func (r *Refusal) Error() string { return r.Kind + ": " + r.Message }

// WithRetryAfter returns a copy of r with the given retry time.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfterMs = d.Milliseconds()
	return &r
}

// InvalidValueError reports a value outside the accepted set.
type InvalidValueError struct {
	// Path names the field or setting; it may be empty.
	Path     string
	Value    string
	Accepted []string
}

// Error returns the path, the value and the accepted values.
func (e *InvalidValueError) Error() string {
	path := e.Path
	if path == "" {
		path = "value"
	}
	return fmt.Sprintf("%s: invalid value %q, accepted: %s", path, e.Value, strings.Join(e.Accepted, ", "))
}
