// Package bytebudget bounds the bytes that many holders keep in memory together.
//
// A holder may keep no more than what it leaves to all others (Choudhury and Hahne, "Dynamic queue length
// thresholds for shared-memory packet switches", 1998). So a single one gets half of the budget, and n that
// ask for ever more get one part in n+1 each: a new holder always finds half as much as each of these has.
// Holders may wait for each other's bytes, those with more than the average for a shorter time, so that these
// are the ones to end and the others go on.
package bytebudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// DefaultLimit is the limit of a budget that names none, in bytes. The smallest machines have 144 MB for
	// everything.
	DefaultLimit = 16 << 20
	// FreeBytes is what each holder may keep without the budget; most answers need no more.
	FreeBytes = 16 << 10
	// stepBytes is the unit in which a holder takes from the budget.
	stepBytes = 16 << 10
	// maxWait bounds how long a holder waits in all, and maxLargeWait for one that has more than the average.
	maxWait      = time.Second
	maxLargeWait = 200 * time.Millisecond
	// waitInterval is the time between two tries.
	waitInterval = 5 * time.Millisecond
)

// ErrFull reports that the budget has no room for a holder to keep more.
var ErrFull = errors.New("too many bytes are held in memory")

// Budget is what several holders may keep together. The zero value has DefaultLimit. It is safe for
// concurrent use.
type Budget struct {
	// Limit is in bytes; 0 means DefaultLimit.
	Limit int64

	mu sync.Mutex
	// used is what all holders have taken, holders the number of those that have taken any.
	used, holders int64
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Allows reports whether a holder may keep the given number of bytes while all holders, including it, keep
// used bytes.
func (b *Budget) Allows(held, used int64) bool {
	limit := b.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	return held <= limit-used
}

// Share is what one holder has taken from a budget. It is not safe for concurrent use. The holder must call
// Release at the end.
type Share struct {
	Budget *Budget

	taken  int64
	waited time.Duration
}

// Hold sets the number of bytes that the holder keeps. It returns ErrFull, and changes nothing, if it may not
// keep as many.
func (s *Share) Hold(bytes int) error {
	wanted := (int64(max(0, bytes-FreeBytes)) + stepBytes - 1) / stepBytes * stepBytes
	if wanted == s.taken {
		return nil
	}
	s.Budget.mu.Lock()
	defer s.Budget.mu.Unlock()
	next := s.Budget.used + wanted - s.taken
	if wanted > s.taken && !s.Budget.Allows(wanted, next) {
		return ErrFull
	}
	switch {
	case s.taken == 0:
		s.Budget.holders++
	case wanted == 0:
		s.Budget.holders--
	}
	s.Budget.used, s.taken = next, wanted
	return nil
}

// Taken returns the bytes that the holder has taken from the budget.
func (s *Share) Taken() int64 { return s.taken }

// Await is like Hold, but waits for other holders to give back. All waits of a holder together are bounded.
func (s *Share) Await(ctx context.Context, bytes int) error {
	return s.AwaitReclaiming(ctx, bytes, func() {})
}

// AwaitReclaiming is like Await. It calls reclaim before each wait, which may make other holders give back.
func (s *Share) AwaitReclaiming(ctx context.Context, bytes int, reclaim func()) error {
	for {
		err := s.Hold(bytes)
		if err != nil {
			reclaim()
		}
		if err == nil || s.waited >= s.patience() || !retry.Sleep(ctx, waitInterval) {
			return err
		}
		s.waited += waitInterval
	}
}

// patience returns how long the holder may wait in all, with what it has now.
func (s *Share) patience() time.Duration {
	s.Budget.mu.Lock()
	defer s.Budget.mu.Unlock()
	if s.taken*s.Budget.holders > s.Budget.used {
		return maxLargeWait
	}
	return maxWait
}

// Excessive reports whether the holder keeps more than twice the average of all.
func (s *Share) Excessive() bool {
	s.Budget.mu.Lock()
	defer s.Budget.mu.Unlock()
	return s.taken*s.Budget.holders > 2*s.Budget.used
}

// Release gives everything back.
func (s *Share) Release() {
	// Giving back is always allowed.
	_ = s.Hold(0)
}
