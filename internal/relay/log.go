// Package relay passes the changes of a group of rows on from node to node, so that in a large fleet
// only a few nodes of each zone, the relays, follow the store. Otherwise the store would send every
// change to every node.
//
// Every node keeps its last changes in a Log and can be a relay. A Feed follows a relay's Log in place
// of the store, and the store itself when no relay answers. A relay only answers while it reads the
// store itself, so a change reaches a node over one other node at most.
package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

const (
	// maxLogChanges bounds the changes of a Log. A follower that is further behind asks the store.
	maxLogChanges = 4000
	// maxLogAge is the age of a Log above which it answers nothing. The store answers a relay at
	// least every 1.5 s.
	maxLogAge = 2500 * time.Millisecond
)

var (
	// ErrStale reports a log that is not up to date.
	ErrStale = errors.New("the node does not follow the store at the moment")
	// ErrBehind reports a follower that lacks changes which the log no longer has.
	ErrBehind = errors.New("the changes are no longer in the log")
)

// batch is a list of changes that were received together.
type batch struct {
	changes []table.Change
	// revision is a version that no change of this or an earlier batch exceeds.
	revision uint64
}

// Log holds the last changes of a group of rows. It is safe for concurrent use; the zero value is
// empty.
type Log struct {
	mu      sync.Mutex
	batches []batch
	count   int
	// first is the revision from which the log has all changes, revision that up to which. newest is
	// the newest version of any change: the later pages of a whole read may hold changes after its
	// revision, which the feed then repeats, but the watcher passes on only once.
	first, revision, newest uint64
	// asOf is the local time as of which revision is the newest, now that of the service's clock at asOf
	// or, since asOf is a bound, before.
	asOf time.Time
	now  time.Duration
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// Append adds changes as a table.Watcher passes them on.
func (l *Log) Append(changes table.Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, changes.Revision)
	l.newest = max(l.newest, l.revision)
	for _, change := range changes.Changes {
		l.newest = max(l.newest, change.Version)
	}
	switch {
	case l.asOf.IsZero():
		// The first changes are the whole group.
		l.first = l.newest
	case len(changes.Changes) > 0:
		l.batches = append(l.batches, batch{changes: slices.Clone(changes.Changes), revision: l.newest})
		l.count += len(changes.Changes)
		l.trim()
		l.notify()
	}
	if !changes.More && changes.AsOf.After(l.asOf) {
		l.asOf, l.now = changes.AsOf, changes.Now-max(0, clock.Since(changes.AsOf))
	}
}

// trim drops the oldest changes beyond the bound. The caller holds mu.
func (l *Log) trim() {
	for l.count > maxLogChanges && len(l.batches) > 0 {
		l.first = l.batches[0].revision
		l.count -= len(l.batches[0].changes)
		l.batches[0] = batch{}
		l.batches = l.batches[1:]
	}
}

// notify wakes those that wait for a change. The caller holds mu.
func (l *Log) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// After waits up to wait for changes after a revision. AsOf is that of the last answer of the store, and Now
// the service's clock at that time or before.
func (l *Log) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := l.since(revision)
		if err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			changes, _, err = l.since(revision)
			return changes, err
		case <-ctx.Done():
			return table.Changes{}, Error.Wrap(ctx.Err())
		}
	}
}

// since returns the changes after a revision and a channel that is closed at the next one.
func (l *Log) since(revision uint64) (changes table.Changes, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.asOf.IsZero() || clock.Since(l.asOf) > maxLogAge:
		return table.Changes{}, nil, Error.Wrap(ErrStale)
	case revision < l.first:
		return table.Changes{}, nil, Error.Wrap(ErrBehind)
	}
	changes = table.Changes{Revision: l.revision, Now: l.now, AsOf: l.asOf}
	start, _ := slices.BinarySearchFunc(l.batches, revision, func(b batch, revision uint64) int {
		if b.revision <= revision {
			return -1
		}
		return 1
	})
	for _, b := range l.batches[start:] {
		for _, change := range b.changes {
			if change.Version > revision {
				changes.Changes = append(changes.Changes, change)
			}
		}
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return changes, l.changed, nil
}
