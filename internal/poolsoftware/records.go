// Package poolsoftware records in the table which software versions the replicas of each pool have run, and
// since when. A node learns of a version from the list of replicas, which shows only the present; a node that
// has just started has nothing else, and neither has any other if all started at the same time.
package poolsoftware

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of errors of this package.
var Error = errs.Class("poolsoftware")

// prefixPool is the prefix of row keys. There is one row per pool.
const prefixPool = "pool/"

// maxAge is the age of the rows above which another version may have been recorded since.
const maxAge = 3 * time.Second

// Records follows the rows of all pools and keeps them up to date. The exported fields must be set before first
// use. It is safe for concurrent use.
type Records struct {
	// Partition is the partition of the rows; rows of other partitions are ignored.
	Partition string
	Table     table.Service
	// Listed returns the software versions of all listed replicas, by pool; nil if the list is not current.
	Listed func() map[string][]string
	// Turn returns how long this node leaves the update of a pool's row to other nodes.
	Turn func(pool string) time.Duration
	// OnUpdated, if set, is called for each update that this node has written.
	OnUpdated func(pool string, versions []string)
	// OnError, if set, is called for failed writes, which are retried, and for rows that cannot be decoded,
	// which are skipped.
	OnError func(pool string, err error)

	mu sync.Mutex
	// tableNow is the table's clock at readAt, the time of the last answer.
	tableNow time.Duration
	readAt   time.Time
	rows     map[string]known
	// differsSince is since when the row of a pool has differed from the list, and retryAt when a failed
	// write may be repeated.
	differsSince, retryAt map[string]time.Time
}

// known is the last known state of a row.
type known struct {
	row
	version uint64
}

// Apply records changes of the group that contains the partition.
func (r *Records) Apply(changes table.Changes, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableNow, r.readAt = changes.Now, clock.Now()
	for _, change := range changes.Changes {
		pool, ok := strings.CutPrefix(change.Sort, prefixPool)
		if !ok || change.Partition != r.Partition {
			continue
		}
		if change.Removed {
			delete(r.rows, pool)
			continue
		}
		r.put(pool, change.Row)
	}
}

// put records a row. One that cannot be decoded is replaced at the next update. The caller holds mu.
func (r *Records) put(pool string, read table.Row) {
	decoded, err := decodeRow(read.Body)
	if err = errors.Join(read.Unreadable, err); err != nil {
		decoded = row{}
		r.report(pool, err)
	}
	if r.rows == nil {
		r.rows = map[string]known{}
	}
	if read.Version >= r.rows[pool].version {
		r.rows[pool] = known{decoded, read.Version}
	}
}

func (r *Records) report(pool string, err error) {
	if r.OnError != nil {
		r.OnError(pool, err)
	}
}

// now returns the table's clock, in ms. The caller holds mu.
func (r *Records) now() int64 { return (r.tableNow + clock.Since(r.readAt)).Milliseconds() }

// History returns the software versions that a pool has run for a period until now, given those of its
// listed replicas. It is unknown if the rows or the list are not current, or if the pool has been
// recorded for less than the period.
func (r *Records) History(pool string, listed []string, period time.Duration) replica.SoftwareHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded, ok := r.rows[pool]
	if !ok || clock.Since(r.readAt) > maxAge || len(listed) == 0 {
		return replica.SoftwareHistory{}
	}
	begin := r.now() - period.Milliseconds()
	versions := slices.Clone(listed)
	for _, version := range recorded.Versions {
		if version.ranSince(begin) {
			versions = append(versions, version.Name)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) > 1 {
		return replica.SoftwareHistory{Several: true}
	}
	isOnly := func(v version) bool { return v.Name == versions[0] && v.Since <= begin }
	if !slices.ContainsFunc(recorded.Versions, isOnly) {
		return replica.SoftwareHistory{}
	}
	return replica.SoftwareHistory{Single: true, Version: versions[0]}
}
