// Package object defines the interface to the platform's object store, and an adapter to the S3
// protocol.
//
// Objects are immutable: a key is only ever written with one content, so repeating a write after an
// unknown outcome is harmless.
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
	// ErrThrottled reports that the store rejected the call by rate limiting.
	ErrThrottled = errors.New("object store throttled")
	// ErrUnavailable reports that the store could not be reached or returned an error.
	ErrUnavailable = errors.New("object store unavailable")
)

// Store is an object store. Implementations are safe for concurrent use.
type Store interface {
	// Put stores an object.
	Put(ctx context.Context, key string, body []byte) error
	// Get opens an object for reading. The caller must close the reader. It returns ErrNotFound.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes an object. It succeeds if the object does not exist.
	Delete(ctx context.Context, key string) error
}

// ReadAll reads an object completely.
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
