package object

import (
	"context"
	"errors"
	"io"
	"testing"
)

// sizedStore has one object of a size.
type sizedStore struct {
	Store
	size int64
}

// Get implements Store.
func (s sizedStore) Get(context.Context, string) (io.ReadCloser, error) {
	return io.NopCloser(io.LimitReader(zeros{}, s.size)), nil
}

// zeros has no end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(into []byte) (int, error) {
	clear(into)
	return len(into), nil
}

// Guards against an object without end that is read into memory, and against the largest one that is refused.
func TestReadAll_IsBounded(t *testing.T) {
	const limit = 1 << 20
	for size, tooLarge := range map[int64]bool{0: false, limit: false, limit + 1: true, 1 << 60: true} {
		body, err := readAll(t.Context(), sizedStore{size: size}, "key", limit)
		if errors.Is(err, ErrTooLarge) != tooLarge || !tooLarge && (err != nil || int64(len(body)) != size) {
			t.Errorf("object of %d bytes: %d read, %v", size, len(body), err)
		}
	}
}
