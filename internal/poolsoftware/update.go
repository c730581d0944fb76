package poolsoftware

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// idleInterval is the time between two comparisons of the rows with the list of replicas, checkInterval
	// that while they differ.
	idleInterval  = 500 * time.Millisecond
	checkInterval = 50 * time.Millisecond
	// writeTimeout bounds one write, and retryDelay is the time after a failed one.
	writeTimeout = 2 * time.Second
	retryDelay   = time.Second
)

// Run keeps the rows up to date until ctx is done.
func (r *Records) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		interval := idleInterval
		if r.update(ctx) {
			interval = checkInterval
		}
		timer.Reset(interval)
	}
}

// update writes the rows that differ from the list, once it is this node's turn. It reports whether any
// still differ.
func (r *Records) update(ctx context.Context) bool {
	listed := r.Listed()
	if listed == nil {
		return false
	}
	pending := false
	for _, pool := range r.pools(listed) {
		write, next, due := r.prepare(pool, listed[pool])
		if due {
			r.write(ctx, pool, write, next)
		}
		pending = pending || r.differs(pool)
	}
	return pending
}

// pools returns the pools that are listed or recorded.
func (r *Records) pools(listed map[string][]string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]bool{}
	for pool := range listed {
		all[pool] = true
	}
	for pool := range r.rows {
		all[pool] = true
	}
	return slices.Collect(maps.Keys(all))
}

// differs reports whether the row of a pool differed from the list when it was last compared.
func (r *Records) differs(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.differsSince[pool].IsZero()
}

// prepare returns the write that brings the row of a pool up to date, and the row. due is false if there is
// nothing to write, or not yet.
func (r *Records) prepare(pool string, listed []string) (write table.Write, next row, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return table.Write{}, row{}, false
	}
	recorded := r.rows[pool]
	next, differs := recorded.updated(listed, r.now())
	if !differs {
		delete(r.differsSince, pool)
		delete(r.retryAt, pool)
		return table.Write{}, row{}, false
	}
	now := clock.Now()
	if r.differsSince[pool].IsZero() {
		if r.differsSince == nil {
			r.differsSince, r.retryAt = map[string]time.Time{}, map[string]time.Time{}
		}
		r.differsSince[pool] = now
	}
	if now.Sub(r.differsSince[pool]) < r.Turn(pool) || now.Before(r.retryAt[pool]) {
		return table.Write{}, row{}, false
	}
	body, err := cbor.Marshal(next)
	if err != nil {
		r.report(pool, Error.Wrap(err))
		return table.Write{}, row{}, false
	}
	key := table.Key{Partition: r.Partition, Sort: prefixPool + pool}
	return table.Write{Key: key, Kind: table.Put, Expect: recorded.version, Body: body}, next, true
}

// write writes the row of a pool once. A conflict means that another node has updated it.
func (r *Records) write(ctx context.Context, pool string, write table.Write, next row) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	versions, err := r.Table.Commit(callCtx, table.NewOperation(), write)
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *table.ConflictError
	switch {
	case err == nil:
		if r.rows == nil {
			r.rows = map[string]known{}
		}
		r.rows[pool] = known{next, max(versions[0], r.rows[pool].version)}
		delete(r.differsSince, pool)
		if r.OnUpdated != nil {
			r.OnUpdated(pool, next.names())
		}
	case errors.As(err, &conflict):
		for _, row := range conflict.Rows {
			r.put(pool, row)
		}
	default:
		r.retryAt[pool] = clock.Now().Add(retryDelay)
		r.report(pool, err)
	}
}

// names returns the versions of which replicas are listed.
func (r *row) names() []string {
	var names []string
	for _, version := range r.Versions {
		if version.Left == 0 {
			names = append(names, version.Name)
		}
	}
	return names
}
