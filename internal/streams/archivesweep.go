package streams

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// sweepInterval is the time between two removals of this node's expired rows, orphanInterval that between two
	// removals of rows whose writers are gone.
	sweepInterval  = 5 * time.Second
	orphanInterval = 30 * time.Second
	// orphanAge is the age above which a row has been left behind by its writer.
	orphanAge = maxArchiveRetention + 6*sweepInterval
)

// runSweeps removes rows that nobody needs any more until ctx is done.
func (a *Archive) runSweeps(ctx context.Context) {
	var sweptOrphans time.Time
	for retry.Sleep(ctx, sweepInterval) {
		if err := a.sweepExpired(ctx); err != nil {
			a.OnError(err)
		}
		if clock.Since(sweptOrphans) < orphanInterval || !a.OwnsSweep() {
			continue
		}
		sweptOrphans = clock.Now()
		if err := a.sweepOrphans(ctx); err != nil {
			a.OnError(err)
		}
	}
}

// sweepExpired removes the expired rows that this node has written.
func (a *Archive) sweepExpired(ctx context.Context) error {
	for {
		expired := a.takeExpired(clock.Now())
		if len(expired) == 0 {
			return nil
		}
		// What fails is left to the removal of orphans.
		if err := a.remove(ctx, expired); err != nil {
			return err
		}
	}
}

// takeExpired removes and returns up to a commit's number of written rows that have expired.
func (a *Archive) takeExpired(now time.Time) []writtenRow {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for count < min(len(a.written), table.MaxWrites) && !a.written[count].expires.After(now) {
		count++
	}
	expired := a.written[:count:count]
	a.written = a.written[count:]
	return expired
}

// sweepOrphans removes the rows that are too old to have a writer that removes them.
func (a *Archive) sweepOrphans(ctx context.Context) error {
	limit := archiveKey(time.Now().Add(-orphanAge))
	for {
		callCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
		rows, err := a.Table.List(callCtx, a.Partition, "", table.MaxWrites)
		cancel()
		if err != nil {
			return Error.Wrap(err)
		}
		var orphans []writtenRow
		for _, row := range rows {
			if row.Sort < limit {
				orphans = append(orphans, writtenRow{key: row.Key, version: row.Version})
			}
		}
		if len(orphans) == 0 {
			return nil
		}
		if err := a.remove(ctx, orphans); err != nil {
			return err
		}
		if len(orphans) < table.MaxWrites {
			return nil
		}
	}
}

// remove removes rows in one commit. One that another node has removed keeps the others until they are orphans.
func (a *Archive) remove(ctx context.Context, rows []writtenRow) error {
	writes := make([]table.Write, len(rows))
	for i, row := range rows {
		writes[i] = table.Write{Key: row.key, Kind: table.Delete, Expect: row.version}
	}
	callCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	_, err := a.Table.Commit(callCtx, table.NewOperation(), writes...)
	if errors.Is(err, table.ErrConflict) {
		return nil
	}
	return err
}
