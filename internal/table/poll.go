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
	// DefaultPollInterval is the time between two looks at the heads.
	DefaultPollInterval = 120 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = 2 * time.Second
	// maxGroups bounds the groups of a service.
	maxGroups = 100
	// logPageSize bounds the rows of one answer.
	logPageSize = 100
)

// errNoPollAnswered reports that no look at the heads was answered in a whole wait for news: nobody
// knows whether there is any.
var errNoPollAnswered = fmt.Errorf("%w: no look at the heads was answered", ErrUnavailable)

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
	polls uint64
	// answeredPollStart is when the last look that was answered began.
	answeredPollStart time.Time
	err               error
	changed           chan struct{}
}

// NewHeads returns heads that have not been looked at; Run looks.
func NewHeads(service Service) *Heads {
	return &Heads{Service: service, heads: map[string]uint64{}, changed: make(chan struct{})}
}

// Run looks until the context ends.
func (h *Heads) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.poll(ctx)
		retry.Sleep(ctx, h.interval())
	}
}

func (h *Heads) interval() time.Duration {
	if h.Interval == nil {
		return DefaultPollInterval
	}
	return h.Interval()
}

func (h *Heads) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	start := clock.Now()
	rows, err := h.Service.List(callCtx, headsPartition, "", maxGroups)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
	if err == nil {
		h.answeredPollStart = start
	}
	h.polls++
	for _, row := range rows {
		h.heads[row.Sort] = max(h.heads[row.Sort], row.Version)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// headState is what one look showed of a group.
type headState struct {
	revision uint64
	poll     uint64
	// asOf is when the last look that was answered asOf.
	asOf time.Time
	err  error
	next <-chan struct{}
}

func (h *Heads) state(group string) headState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return headState{revision: h.heads[group], poll: h.polls, asOf: h.answeredPollStart, err: h.err, next: h.changed}
}

// await waits until a group is beyond a revision, up to wait, and returns the last look. Its
// error is that of a look made meanwhile that failed, or says that none was answered.
func (h *Heads) await(ctx context.Context, group string, revision uint64, wait time.Duration) (headState, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	first := h.state(group)
	for current := first; ; current = h.state(group) {
		switch {
		case current.revision > revision:
			return current, nil
		case current.poll > first.poll && current.err != nil:
			return current, current.err
		}
		select {
		case <-ctx.Done():
			return current, ctx.Err()
		case <-deadline.C:
			if current.poll == first.poll {
				return current, Error.Wrap(errNoPollAnswered)
			}
			return current, nil
		case <-current.next:
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
	rows, err := f.Heads.Service.List(ctx, f.Parts[cursor.Part], cursor.Key, logPageSize)
	if err != nil {
		return Changes{}, cursor, err
	}
	page := Changes{Revision: head, Now: wallClock()}
	for _, row := range rows {
		if row.Unreadable != nil {
			// Without a version it may go no further than this.
			f.Heads.Unreadable.Report(row.AsUnreadable(Envelope, row.Unreadable))
		}
		page.Changes = append(page.Changes, Change{Row: row})
	}
	next := Cursor{Part: cursor.Part + 1}
	if len(rows) == logPageSize {
		next = Cursor{Part: cursor.Part, Key: rows[len(rows)-1].Sort}
	}
	next.Done = next.Part == len(f.Parts)
	return page, next, nil
}

// After implements Feed.
func (f PolledFeed) After(ctx context.Context, revision uint64, wait time.Duration) (Changes, error) {
	state, err := f.Heads.await(ctx, f.Group, revision, wait)
	if err != nil {
		return Changes{}, err
	}
	if state.revision <= revision {
		return Changes{Revision: revision, Now: wallClock(), AsOf: state.asOf}, nil
	}
	return f.since(ctx, revision)
}

func (f PolledFeed) since(ctx context.Context, revision uint64) (Changes, error) {
	start := clock.Now()
	rows, err := f.Heads.Service.List(ctx, logPrefix+f.Group, logKey(f.Group, revision).Sort, logPageSize)
	if err != nil {
		return Changes{}, err
	}
	read := Changes{Revision: revision, Now: wallClock(), AsOf: start, More: len(rows) == logPageSize}
	for _, row := range rows {
		if row.Version != read.Revision+1 {
			return Changes{}, Error.Wrap(ErrCompacted)
		}
		changes, err := decodeLogRow(row)
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

func decodeLogRow(row Row) ([]Change, error) {
	var logged []loggedChange
	if err := row.Decode(&logged); err != nil {
		return nil, err
	}
	changes := make([]Change, len(logged))
	for i, change := range logged {
		changes[i] = Change{Removed: change.Removed, Row: Row{
			Key: Key{Partition: change.Partition, Sort: change.Sort}, Version: row.Version,
			Operation: row.Operation, Body: change.Body,
		}}
	}
	return changes, nil
}

// wallClock stands in for a service's steady clock where the protocol has none: the
// time of day. Only deadlines that are hours away are told by it.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
