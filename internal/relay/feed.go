package relay

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// defaultRelayWait is the default of Feed.RelayWait, and relayTimeoutMargin the time that a call may
	// take in addition. Both together leave time to ask the store within the time of a table.Watcher's
	// call.
	defaultRelayWait   = time.Second
	relayTimeoutMargin = 500 * time.Millisecond
	// defaultStoreWait is the default of Feed.StoreWait.
	defaultStoreWait = 500 * time.Millisecond
	// avoidTime is how long a relay is not asked after it failed.
	avoidTime = 3 * time.Second
)

// Answer is a relay's answer to a follower.
type Answer struct {
	Changes table.Changes
	// Stamp is the relay's monotonic clock at the time of the answer, and Age that of its changes
	// then.
	Stamp, Age time.Duration
}

// Role is what a node does in passing changes on. The zero value follows the store for itself.
type Role struct {
	// Relay is set if other nodes follow this one.
	Relay bool
	// Follows holds the addresses of the relays to follow, in the order of preference. If none
	// answers, the node follows the store.
	Follows []string
}

// Feed is a table.Feed that follows a relay in place of the store. Whole reads go to the store. It is
// for a single table.Watcher; FromStore is safe for concurrent use.
type Feed struct {
	table.Feed
	// Role returns this node's role.
	Role func() Role
	// Ask asks a relay for the changes after a revision.
	Ask func(ctx context.Context, relay string, revision uint64, wait time.Duration) (Answer, error)
	// StoreWait and RelayWait bound one wait of a relay at the store and of a follower at a relay, in place
	// of the defaults. A view is as old as both together while nothing changes.
	StoreWait, RelayWait time.Duration
	// OnFailed, if set, is called for each call that a relay did not answer.
	OnFailed func(relay string, err error)

	// avoidUntil holds the relays that failed, with the time until which they are not asked.
	avoidUntil map[string]time.Time
	// followed is the relay that answered last, and relayClock its clock.
	followed   string
	relayClock *table.ServiceClock
	fromRelay  atomic.Bool
}

// FromStore reports whether this node follows the store itself, so that it may be a relay.
func (f *Feed) FromStore() bool { return !f.fromRelay.Load() }

// After implements table.Feed.
func (f *Feed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	role := f.Role()
	if role.Relay {
		wait = min(wait, cmp.Or(f.StoreWait, defaultStoreWait))
	}
	for _, relay := range role.Follows {
		if clock.Now().Before(f.avoidUntil[relay]) {
			continue
		}
		changes, err := f.ask(ctx, relay, revision, wait)
		if err == nil {
			f.fromRelay.Store(true)
			return changes, nil
		}
		if ctx.Err() != nil {
			return table.Changes{}, err
		}
		if errors.Is(err, ErrBehind) {
			break
		}
	}
	f.fromRelay.Store(false)
	return f.Feed.After(ctx, revision, wait)
}

// ask asks a relay, which is avoided for a while if it fails.
func (f *Feed) ask(ctx context.Context, relay string, revision uint64, wait time.Duration) (table.Changes, error) {
	wait = min(wait, cmp.Or(f.RelayWait, defaultRelayWait))
	if f.followed != relay {
		// A call that does not wait measures the offset of the relay's clock.
		wait = 0
	}
	askCtx, cancel := context.WithTimeout(ctx, wait+relayTimeoutMargin)
	defer cancel()
	sent := clock.Now()
	answer, err := f.Ask(askCtx, relay, revision, wait)
	if err != nil {
		if !errors.Is(err, ErrBehind) {
			f.avoid(relay)
		}
		if f.OnFailed != nil {
			f.OnFailed(relay, err)
		}
		return table.Changes{}, err
	}
	if f.followed != relay {
		f.followed, f.relayClock = relay, &table.ServiceClock{}
	}
	answeredAt := f.relayClock.AsOf(sent, clock.Now(), answer.Stamp)
	changes := answer.Changes
	changes.AsOf = answeredAt.Add(-answer.Age)
	// The service's clock has gone on since the time that Now is of.
	changes.Now += answer.Age
	return changes, nil
}

// avoid notes that a relay failed.
func (f *Feed) avoid(relay string) {
	now := clock.Now()
	for other, until := range f.avoidUntil {
		if now.After(until) {
			delete(f.avoidUntil, other)
		}
	}
	if f.avoidUntil == nil {
		f.avoidUntil = map[string]time.Time{}
	}
	f.avoidUntil[relay] = now.Add(avoidTime)
}
