// Package outcome classifies the result of a remote call that has an effect.
//
// The effect took place, did not take place, or it is unknown whether it did. Callers must not
// treat an unknown outcome as either of the others: they resolve it by reading back their own
// operation ID, or report it as unknown.
package outcome

import "errors"

// Outcome states whether the effect of a remote call took place.
type Outcome int

const (
	// Unknown means that the effect may or may not have taken place.
	Unknown Outcome = iota
	// Done means that the effect took place.
	Done
	// NotDone means that the effect provably did not take place.
	NotDone
)

// String returns the value used in logs and in the X-Wheelhoist-Executed header.
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

// Error adds the outcome of a failed call to its error.
type Error struct {
	Outcome Outcome
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsNotDone wraps the error of a call that provably had no effect.
func AsNotDone(err error) error { return &Error{Outcome: NotDone, Err: err} }

// AsUnknown wraps the error of a call that may have had an effect.
func AsUnknown(err error) error { return &Error{Outcome: Unknown, Err: err} }

// Of returns the outcome of a call that returned err: Done for nil, the outcome of the first Error
// in the chain, and Unknown for all other errors.
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
