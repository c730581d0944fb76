package streams

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// maxArchiveRetention bounds how long an origin is in the table. Streams without a deadline that are older
	// cannot be continued once all nodes that hold their origin are gone.
	maxArchiveRetention = time.Minute
	// maxPendingOrigins bounds the origins of a pool that wait to be written. The oldest are dropped.
	maxPendingOrigins = 8192
	// maxRowOrigins bounds the origins in a row, which take 16 bytes each. A service takes at least 64 KB.
	maxRowOrigins = 1000
	// maxCommitRows bounds the rows of one commit.
	maxCommitRows = 16
	// archiveTimeout bounds one write, and archiveErrorPause is the least time until another after a failure.
	archiveTimeout    = time.Second
	archiveErrorPause = 300 * time.Millisecond
	// acknowledgementTimeout is how long a node waits until it writes an origin that another one was asked to write.
	acknowledgementTimeout = 100 * time.Millisecond
	// archiveIdleInterval is the least time between two looks at whether origins have to be written while none
	// have.
	archiveIdleInterval = 250 * time.Millisecond
)

// Archive writes the origins of streams to the table, in batches, so that they survive the death of all nodes
// that hold them. A stream begins without waiting for that; those that began since the last batch are lost
// with their nodes. Only pools that run several software versions need it, see Needed. The exported fields must
// be set before first use. It is safe for concurrent use.
type Archive struct {
	// Partition is the partition of the rows.
	Partition string
	Table     table.Service
	// Session returns the ID of the node's session, which makes the keys of its rows unique.
	Session func() string
	// Needed reports whether origins of a pool have to be written. Until then they are kept for their
	// retention, so that those of streams that began just before are not missing.
	Needed func(pool string) bool
	// Interval returns the least time between two batches.
	Interval func() time.Duration
	// Registry receives the origins that are read: those that lookups wait for and those that Wanted accepts.
	Registry *Registry
	Wanted   func(id ID) bool
	// OwnsSweep reports whether this node removes the rows that others left behind.
	OwnsSweep func() bool
	// OnWritten is called for origins that were written for another node.
	OnWritten func(sender string, ids []ID)
	// OnError is called for failed reads and writes, and for rows that cannot be decoded, which are skipped.
	OnError func(error)

	mu sync.Mutex
	// pending are the origins to be written, by pool and in the order in which they were added.
	pending map[string][]pendingOrigin
	// needed holds the pools whose origins are being written.
	needed map[string]bool
	// wake is signalled when an origin is added; nil until Run waits for one.
	wake chan struct{}
	// rowsBuilt counts the rows, for their keys, and failed are the origins whose write has failed. Only Run uses
	// them.
	rowsBuilt int
	failed    []pendingOrigin
	// written are the rows in the table that this node removes once they have expired.
	written []writtenRow
	reads   readRounds
}

// pendingOrigin is an origin that is to be written.
type pendingOrigin struct {
	id      ID
	origin  Origin
	expires time.Time
	// due is when it is written if nobody has acknowledged it.
	due time.Time
	// sender is the node that awaits the acknowledgement; empty if none does.
	sender string
}

// builtRow is a row that is to be written.
type builtRow struct {
	key     table.Key
	body    []byte
	origins []pendingOrigin
}

// expires returns when the last origin in the row expires.
func (r *builtRow) expires() time.Time {
	last := r.origins[0].expires
	for _, pending := range r.origins {
		if pending.expires.After(last) {
			last = pending.expires
		}
	}
	return last
}

// writtenRow is a row that this node has written.
type writtenRow struct {
	key     table.Key
	version uint64
	expires time.Time
}

// Add queues the origin of a stream for the next batch. It does not block.
func (a *Archive) Add(id ID, origin Origin, keep time.Duration) { a.add(id, origin, keep, 0, "") }

// AddUnacknowledged queues the origin of a stream that another node was asked to write. It is written here unless
// it is acknowledged soon.
func (a *Archive) AddUnacknowledged(id ID, origin Origin, keep time.Duration) {
	a.add(id, origin, keep, acknowledgementTimeout, "")
}

// AddFor queues the origin of a stream that began at another node, which awaits an acknowledgement.
func (a *Archive) AddFor(sender string, id ID, origin Origin, keep time.Duration) {
	a.add(id, origin, keep, 0, sender)
}

func (a *Archive) add(id ID, origin Origin, keep, delay time.Duration, sender string) {
	keep = min(keep, maxArchiveRetention)
	if keep <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[string][]pendingOrigin{}
	}
	now := clock.Now()
	added := pendingOrigin{id: id, origin: origin, expires: now.Add(keep), due: now.Add(delay), sender: sender}
	queue := append(a.pending[origin.Pool], added)
	a.pending[origin.Pool] = queue[max(0, len(queue)-maxPendingOrigins):]
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Acknowledge records that another node has written the origins of streams. It does not tell which origin that was, so
// one that has become ambiguous since is written here too.
func (a *Archive) Acknowledge(ids []ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, queue := range a.pending {
		a.pending[pool] = slices.DeleteFunc(queue, func(pending pendingOrigin) bool {
			return pending.sender == "" && !pending.origin.Ambiguous && slices.Contains(ids, pending.id)
		})
	}
}

// Writes reports whether origins of a pool are being written.
func (a *Archive) Writes(pool string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.needed[pool]
}

// writesAny reports whether origins of any pool are being written.
func (a *Archive) writesAny() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.needed) > 0
}

// Run writes batches until ctx is done.
func (a *Archive) Run(ctx context.Context) {
	var sweeps sync.WaitGroup
	defer sweeps.Wait()
	sweeps.Go(func() { a.runSweeps(ctx) })
	for {
		began := clock.Now()
		written, err := a.flush(ctx)
		pause := a.Interval() - clock.Since(began)
		switch {
		case err != nil:
			a.OnError(err)
			pause = max(pause, archiveErrorPause)
		case !written && !a.writesAny() && len(a.pendingPools()) > 0:
			pause = max(pause, archiveIdleInterval)
		}
		if !retry.Sleep(ctx, pause) || !a.awaitPending(ctx) {
			return
		}
	}
}

// awaitPending waits until an origin is to be written. It returns false if ctx is done before.
func (a *Archive) awaitPending(ctx context.Context) bool {
	if len(a.failed) > 0 || len(a.pendingPools()) > 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-a.wakeChannel():
		return true
	}
}

// wakeChannel returns the channel that signals an added origin.
func (a *Archive) wakeChannel() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

// flush writes what is pending for pools that need it, and what failed before. It reports whether there was
// anything to write.
func (a *Archive) flush(ctx context.Context) (written bool, err error) {
	origins := append(a.failed, a.take(clock.Now())...)
	a.failed = nil
	for chunk := range slices.Chunk(origins, maxCommitRows*maxRowOrigins) {
		if err == nil {
			err = a.write(ctx, chunk)
		}
		if err != nil {
			a.failed = append(a.failed, chunk...)
		}
	}
	a.failed = slices.DeleteFunc(a.failed, func(pending pendingOrigin) bool { return !pending.expires.After(clock.Now()) })
	a.failed = a.failed[max(0, len(a.failed)-maxPendingOrigins):]
	return len(origins) > 0, err
}

// take removes and returns the origins that are to be written now, and drops those that have expired.
func (a *Archive) take(now time.Time) []pendingOrigin {
	var taken []pendingOrigin
	for _, pool := range a.pendingPools() {
		taken = append(taken, a.takeOf(pool, a.Needed(pool), now)...)
	}
	return taken
}

// takeOf is take for one pool, whose origins are kept unless they are needed.
func (a *Archive) takeOf(pool string, needed bool, now time.Time) []pendingOrigin {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.pending[pool]
	for len(queue) > 0 && !queue[0].expires.After(now) {
		queue = queue[1:]
	}
	var due []pendingOrigin
	if needed {
		due, queue = splitDue(queue, now)
	}
	a.setNeeded(pool, needed)
	a.pending[pool] = queue
	if len(queue) == 0 {
		delete(a.pending, pool)
	}
	return due
}

// splitDue returns the origins that are to be written now and those that are to be written later. Expired ones are
// left out.
func splitDue(queue []pendingOrigin, now time.Time) (due, later []pendingOrigin) {
	for _, pending := range queue {
		switch {
		case !pending.expires.After(now):
		case pending.due.After(now):
			later = append(later, pending)
		default:
			due = append(due, pending)
		}
	}
	return due, later
}

// setNeeded records whether origins of a pool are being written. The caller holds mu.
func (a *Archive) setNeeded(pool string, needed bool) {
	if !needed {
		delete(a.needed, pool)
		return
	}
	if a.needed == nil {
		a.needed = map[string]bool{}
	}
	a.needed[pool] = true
}

// pendingPools returns the pools with origins that wait to be written.
func (a *Archive) pendingPools() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.pending))
}

// write writes origins in one commit. After a failure they are written again under new keys, since readers do
// not read far back again; origins that are in the table twice do no harm.
func (a *Archive) write(ctx context.Context, origins []pendingOrigin) error {
	rows, err := a.build(origins)
	if err != nil {
		return err
	}
	writes := make([]table.Write, len(rows))
	for i, row := range rows {
		writes[i] = table.Write{Key: row.key, Kind: table.Put, Expect: table.Absent, Body: row.body}
	}
	callCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	versions, err := a.Table.Commit(callCtx, table.NewOperation(), writes...)
	if errors.Is(err, table.ErrRejected) {
		// It would be rejected again.
		a.OnError(err)
		return nil
	}
	if err != nil {
		return err
	}
	a.recordWritten(rows, versions)
	a.acknowledge(origins)
	return nil
}

// recordWritten records rows that this node has written.
func (a *Archive) recordWritten(rows []builtRow, versions []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, version := range versions {
		a.written = append(a.written, writtenRow{key: rows[i].key, version: version, expires: rows[i].expires()})
	}
}

// acknowledge tells other nodes that their origins have been written.
func (a *Archive) acknowledge(origins []pendingOrigin) {
	bySender := map[string][]ID{}
	for _, written := range origins {
		if written.sender != "" {
			bySender[written.sender] = append(bySender[written.sender], written.id)
		}
	}
	for sender, ids := range bySender {
		a.OnWritten(sender, ids)
	}
}

// build returns the rows for origins.
func (a *Archive) build(origins []pendingOrigin) ([]builtRow, error) {
	var rows []builtRow
	for chunk := range slices.Chunk(origins, maxRowOrigins) {
		body, err := encodeArchiveRow(chunk, clock.Now())
		if err != nil {
			return nil, err
		}
		a.rowsBuilt++
		key := table.Key{Partition: a.Partition, Sort: fmt.Sprintf("%s/%s/%d", archiveKey(time.Now()), a.Session(), a.rowsBuilt)}
		rows = append(rows, builtRow{key: key, body: body, origins: chunk})
	}
	return rows, nil
}
