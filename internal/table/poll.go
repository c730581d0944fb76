package table

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// DefaultPoll is the time between two looks at the heads.
	DefaultPoll = 120 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = 2 * time.Second
	// maxGroups bounds the groups of a service.
	maxGroups = 100
	// logPage bounds the rows of one answer.
	logPage = 100
)

// errNoLook reports that no look at the heads was answered in a whole wait for news: nobody
// knows whether there is any.
var errNoLook = fmt.Errorf("%w: no look at the heads was answered", ErrUnavailable)

// Heads looks at the heads of all groups of a Logged service now and then, for
// any number of feeds. It is safe for concurrent use.
type Heads struct {
	Service Service
	// Interval, if set, is the time between two looks; it may grow with the
	// fleet, so that the service's load does not.
	Interval func() time.Duration
	// Unreadable, if set, is told of rows of the logs that cannot be read.
	Unreadable *Unreadable

	mu    sync.Mutex
	heads map[string]uint64
	looks uint64
	// lookedAt is when the last look that was answered began.
	lookedAt time.Time
	err      error
	changed  chan struct{}
}

// NewHeads returns heads that have not been looked at; Run looks.
func NewHeads(service Service) *Heads {
	return &Heads{Service: service, heads: map[string]uint64{}, changed: make(chan struct{})}
}

// Run looks until the context ends.
func (h *Heads) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.look(ctx)
		retry.Sleep(ctx, h.interval())
	}
}

func (h *Heads) interval() time.Duration {
	if h.Interval == nil {
		return DefaultPoll
	}
	return h.Interval()
}

func (h *Heads) look(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := clock.Now()
	rows, err := h.Service.List(callCtx, headsPartition, "", maxGroups)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
	if err == nil {
		h.lookedAt = began
	}
	h.looks++
	for _, row := range rows {
		h.heads[row.Sort] = max(h.heads[row.Sort], row.Version)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// headLook is what one look showed of a group.
type headLook struct {
	revision uint64
	number   uint64
	// began is when the last look that was answered began.
	began time.Time
	err   error
	next  <-chan struct{}
}

func (h *Heads) at(group string) headLook {
	h.mu.Lock()
	defer h.mu.Unlock()
	return headLook{revision: h.heads[group], number: h.looks, began: h.lookedAt, err: h.err, next: h.changed}
}

// await waits until a group is beyond a revision, up to wait, and returns the last look. Its
// error is that of a look made meanwhile that failed, or says that none was answered.
func (h *Heads) await(ctx context.Context, group string, revision uint64, wait time.Duration) (headLook, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	first := h.at(group)
	for now := first; ; now = h.at(group) {
		switch {
		case now.revision > revision:
			return now, nil
		case now.number > first.number && now.err != nil:
			return now, now.err
		}
		select {
		case <-ctx.Done():
			return now, ctx.Err()
		case <-deadline.C:
			if now.number == first.number {
				return now, Error.Wrap(errNoLook)
			}
			return now, nil
		case <-now.next:
		}
	}
}

// PolledFeed follows a group of a Logged service.
type PolledFeed struct {
	Heads *Heads
	Group string
	// Parts are the partitions of the group, in the order of a whole read.
	Parts []string
}

var _ Feed = PolledFeed{}

// Page implements Feed. The revision is that of the head before the page was
// read, so nothing is missed by going on from there.
func (f PolledFeed) Page(ctx context.Context, cursor Cursor) (Changes, Cursor, error) {
	head, err := readHead(ctx, f.Heads.Service, f.Group)
	if err != nil {
		return Changes{}, cursor, err
	}
	rows, err := f.Heads.Service.List(ctx, f.Parts[cursor.Part], cursor.Key, logPage)
	if err != nil {
		return Changes{}, cursor, err
	}
	page := Changes{Revision: head, Now: timeOfDay()}
	for _, row := range rows {
		if row.Unreadable != nil {
			// Without a version it may go no further than this.
			f.Heads.Unreadable.Report(row.Refuse(Envelope, row.Unreadable))
		}
		page.Changes = append(page.Changes, Change{Row: row})
	}
	next := Cursor{Part: cursor.Part + 1}
	if len(rows) == logPage {
		next = Cursor{Part: cursor.Part, Key: rows[len(rows)-1].Sort}
	}
	next.Done = next.Part == len(f.Parts)
	return page, next, nil
}

// After implements Feed.
func (f PolledFeed) After(ctx context.Context, revision uint64, wait time.Duration) (Changes, error) {
	seen, err := f.Heads.await(ctx, f.Group, revision, wait)
	if err != nil {
		return Changes{}, err
	}
	if seen.revision <= revision {
		return Changes{Revision: revision, Now: timeOfDay(), AsOf: seen.began}, nil
	}
	return f.since(ctx, revision)
}

func (f PolledFeed) since(ctx context.Context, revision uint64) (Changes, error) {
	began := clock.Now()
	rows, err := f.Heads.Service.List(ctx, logPrefix+f.Group, logKey(f.Group, revision).Sort, logPage)
	if err != nil {
		return Changes{}, err
	}
	read := Changes{Revision: revision, Now: timeOfDay(), AsOf: began, More: len(rows) == logPage}
	for _, row := range rows {
		if row.Version != read.Revision+1 {
			return Changes{}, Error.Wrap(ErrCompacted)
		}
		changes, err := decodeLogged(row)
		if err != nil {
			// What it said of the group is in the group's rows: a whole read goes by them.
			f.Heads.Unreadable.Report(err)
			return Changes{}, Error.Wrap(errors.Join(ErrCompacted, err))
		}
		read.Changes = append(read.Changes, changes...)
		read.Revision = row.Version
	}
	return read, nil
}

func decodeLogged(row Row) ([]Change, error) {
	var logged []loggedChange
	if err := row.Decode(&logged); err != nil {
		return nil, err
	}
	changes := make([]Change, len(logged))
	for i, one := range logged {
		changes[i] = Change{Removed: one.Removed, Row: Row{
			Key: Key{Partition: one.Partition, Sort: one.Sort}, Version: row.Version,
			Operation: row.Operation, Body: one.Body,
		}}
	}
	return changes, nil
}

// timeOfDay stands in for a service's steady clock where the protocol has none: the
// time of day. Only deadlines that are hours away are told by it.
func timeOfDay() time.Duration { return time.Duration(time.Now().UnixNano()) }
