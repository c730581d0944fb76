// Package outcome classifies the answer of a remote call that has an effect.
//
// A remote effect is done, not done, or unknown. Callers must never treat an
// unknown outcome as either of the other two: they resolve it by reading back
// their own operation id, or report it as unknown.
package outcome

import "errors"

// Outcome tells whether the effect of a remote call took place.
type Outcome int

const (
	// Unknown means the request may or may not have taken effect.
	Unknown Outcome = iota
	// Done means the effect took place.
	Done
	// NotDone means the effect provably did not take place.
	NotDone
)

// String returns the name used in logs and in the X-Wheelhoist-Executed header.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "yes"
	case NotDone:
		return "no"
	default:
		return "unknown"
	}
}

// Error is an error that carries the outcome of the call that failed.
type Error struct {
	// Outcome of the failed call.
	Outcome Outcome
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Failed wraps err as a call that provably had no effect.
func Failed(err error) error { return &Error{Outcome: NotDone, Err: err} }

// Undecided wraps err as a call whose effect is not known.
func Undecided(err error) error { return &Error{Outcome: Unknown, Err: err} }

// Of returns Done for a nil error, the carried outcome of an Error anywhere in
// the chain, and Unknown for every other error.
func Of(err error) Outcome {
	if err == nil {
		return Done
	}
	var classified *Error
	if errors.As(err, &classified) {
		return classified.Outcome
	}
	return Unknown
}
