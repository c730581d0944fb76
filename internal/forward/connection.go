package forward

// ConnectionError adds to the error of an attempt what the connection that carried the attempt had carried
// before, and which request the answer was for. Its outcome is that of the cause.
type ConnectionError struct {
	// Err is the cause.
	Err error
	// RequestsBefore is the number of requests that the connection had carried before.
	RequestsBefore int
	// Repeated reports whether one of them, as far as is remembered, had the ID of this one and no success.
	Repeated bool
	// OtherAnswer reports whether the answer was for another request; AnswerID is the ID that it bore,
	// empty if none. It may be shortened.
	OtherAnswer bool
	AnswerID    string
}

// Error implements error.
func (e *ConnectionError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }
