package table

import (
	"errors"
	"fmt"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// Limits of a commit that every service accepts.
const (
	// MaxWrites bounds the writes. Services take 100 entries, and a put or a delete takes two of
	// them, one for its condition.
	MaxWrites = 50
	// MaxBodyBytes bounds the sum of the bodies. Services take 1 MB with bodies encoded as base64,
	// and the keys of MaxWrites writes need up to 50 KB of it.
	MaxBodyBytes = 680 << 10
)

// ErrRejected reports a call that the service never accepts as it is, because it is too large or
// invalid. It had no effect, and repeating it is useless.
var ErrRejected = errors.New("table service rejected the call as too large or invalid")

// Rejected returns the error of a commit that the service never accepts, with its sizes.
func Rejected(writes []Write, cause error) error {
	return outcome.AsNotDone(fmt.Errorf("%w (%d writes, %d bytes): %w", ErrRejected, len(writes), bodyBytes(writes), cause))
}

var errTooLarge = errors.New("over the limits of a commit")

// CheckSize returns ErrRejected if a commit exceeds MaxWrites or MaxBodyBytes.
func CheckSize(writes []Write) error {
	if len(writes) <= MaxWrites && bodyBytes(writes) <= MaxBodyBytes {
		return nil
	}
	return Rejected(writes, errTooLarge)
}

func bodyBytes(writes []Write) int {
	size := 0
	for _, write := range writes {
		size += len(write.Body)
	}
	return size
}

// BatchLimit bounds the number of entries that a writer puts into one commit. It is halved each time
// that the service rejects a commit, so that the next one is smaller. The zero value has no bound.
type BatchLimit struct{ limit int }

// Apply returns the number of entries for the next commit, of n that are ready.
func (l *BatchLimit) Apply(n int) int {
	if l.limit == 0 {
		return n
	}
	return min(l.limit, n)
}

// Reduce records that a commit of n entries was rejected. It returns false if it had a single entry,
// so that no smaller commit is possible.
func (l *BatchLimit) Reduce(n int) bool {
	if n <= 1 {
		return false
	}
	l.limit = n / 2
	return true
}
