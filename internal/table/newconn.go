package table

import "context"

// newConnectionKey is the context key of WithNewConnection.
type newConnectionKey struct{}

// WithNewConnection requests that a call is not made on a connection that earlier calls have used. Once
// an answer has been lost on a connection, all later ones on it may be lost too.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// NewConnectionRequested reports whether ctx comes from WithNewConnection.
func NewConnectionRequested(ctx context.Context) bool {
	requested, _ := ctx.Value(newConnectionKey{}).(bool)
	return requested
}
