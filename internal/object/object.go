// Package object is the port to the platform's object store.
//
// Objects are immutable: a key is written once with one content, so that a
// repeated write after an unknown outcome is harmless.
package object

import (
	"context"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("object")

var (
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrThrottled reports that the store refused the call for its rate.
	ErrThrottled = errors.New("object store throttled")
	// ErrUnavailable reports that the store could not be reached or answered with an error.
	ErrUnavailable = errors.New("object store unavailable")
)

// Store is the object store. Implementations are safe for concurrent use.
type Store interface {
	// Put stores a whole object.
	Put(ctx context.Context, key string, body []byte) error
	// Get opens an object; the caller closes the reader. It returns ErrNotFound.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes an object; a missing one is no error.
	Delete(ctx context.Context, key string) error
}

// ReadAll reads a whole object.
func ReadAll(ctx context.Context, store Store, key string) ([]byte, error) {
	reader, err := store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	body, readErr := io.ReadAll(reader)
	closeErr := reader.Close()
	if readErr != nil {
		return nil, Error.Wrap(readErr)
	}
	return body, Error.Wrap(closeErr)
}
