package table

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// errNotRead reports that a watcher has not read its group yet.
var errNotRead = errors.New("the group has not been read yet")

// confirmInterval is the time between two looks at whether a watcher has applied changes.
const confirmInterval = 2 * time.Millisecond

// Confirm returns nil once the watcher has applied all changes that the service had when it was called. It reads
// them with feed, beside the calls of Run.
func (w *Watcher) Confirm(ctx context.Context, feed Feed) error {
	if !w.Ready() {
		return Error.Wrap(errNotRead)
	}
	for {
		changes, err := feed.After(ctx, w.currentRevision(), 0)
		if err != nil {
			return err
		}
		if err := w.awaitChanges(ctx, changes.Changes); err != nil {
			return err
		}
		if !changes.More {
			return nil
		}
	}
}

func (w *Watcher) currentRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// awaitChanges waits until changes have been applied.
func (w *Watcher) awaitChanges(ctx context.Context, changes []Change) error {
	newest := uint64(0)
	for _, change := range changes {
		newest = max(newest, change.Version)
	}
	for w.currentRevision() < newest {
		w.Announce()
		if !retry.Sleep(ctx, confirmInterval) {
			return Error.Wrap(context.Cause(ctx))
		}
	}
	return nil
}
