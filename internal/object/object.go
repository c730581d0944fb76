// Package object defines the interface to the platform's object store, and an adapter to the S3
// protocol.
//
// Objects are immutable: a key is only ever written with one content, so repeating a write after an
// unknown outcome is harmless.
package object

import (
	"context"
	"errors"
	"fmt"
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
	// ErrTooLarge reports an object that is larger than any that the product writes.
	ErrTooLarge = errors.New("object is too large")
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

// maxReadBytes bounds what ReadAll reads into memory, in bytes. The largest objects are segments of batch
// files: 256 lines of up to 1 MiB.
const maxReadBytes = 257 << 20

// ReadAll reads an object completely. It returns ErrTooLarge if that would take too much memory.
func ReadAll(ctx context.Context, store Store, key string) ([]byte, error) {
	return readAll(ctx, store, key, maxReadBytes)
}

func readAll(ctx context.Context, store Store, key string, limit int64) ([]byte, error) {
	reader, err := store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	body, readErr := io.ReadAll(io.LimitReader(reader, limit+1))
	closeErr := reader.Close()
	if readErr != nil {
		return nil, Error.Wrap(readErr)
	}
	if int64(len(body)) > limit {
		return nil, Error.Wrap(fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit))
	}
	return body, Error.Wrap(closeErr)
}
