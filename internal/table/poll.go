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
	// DefaultPollInterval is the default time between two polls of the heads.
	DefaultPollInterval = 120 * time.Millisecond
	// pollTimeout limits one poll.
	pollTimeout = 2 * time.Second
	// maxGroups limits the number of groups of a service.
	maxGroups = 100
	// logPageSize limits the number of rows per call.
	logPageSize = 100
)

// errNoPollCompleted reports that no poll of the heads completed during a wait, so it is unknown
// whether there are changes.
var errNoPollCompleted = fmt.Errorf("%w: no poll of the log heads completed", ErrUnavailable)

// Heads polls the heads of all groups of a Logged service periodically, for any number of feeds. It
// is safe for concurrent use.
type Heads struct {
	Service Service
	// Interval, if set, returns the time between two polls. It may grow with the fleet, to keep
	// the load on the service constant.
	Interval func() time.Duration
	// Unreadable, if set, receives rows that cannot be decoded.
	Unreadable *Unreadable

	mu    sync.Mutex
	heads map[string]uint64
	polls uint64
	// answeredPollStart is the start time of the last successful poll.
	answeredPollStart time.Time
	err               error
	polled            chan struct{}
}

// NewHeads returns a Heads that has not polled yet. Call Run to poll.
func NewHeads(service Service) *Heads {
	return &Heads{Service: service, heads: map[string]uint64{}, polled: make(chan struct{})}
}

// Run polls until ctx is done.
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
	close(h.polled)
	h.polled = make(chan struct{})
}

// headState is the state of a group after the last poll.
type headState struct {
	revision uint64
	poll     uint64
	// asOf is the start time of the last successful poll.
	asOf time.Time
	err  error
	// nextPoll is closed at the end of the next poll.
	nextPoll <-chan struct{}
}

func (h *Heads) state(group string) headState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return headState{revision: h.heads[group], poll: h.polls, asOf: h.answeredPollStart, err: h.err, nextPoll: h.polled}
}

// await waits up to wait until a group is beyond a revision, and returns the state after the last
// poll. It returns an error if a poll fails during the wait, or if no poll completes in it.
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
				return current, Error.Wrap(errNoPollCompleted)
			}
			return current, nil
		case <-current.nextPoll:
		}
	}
}

// PolledFeed is a Feed of a group of a Logged service.
type PolledFeed struct {
	Heads *Heads
	Group string
	// Parts lists the partitions of the group, in the order of a whole read.
	Parts []string
}

var _ Feed = PolledFeed{}

// Page implements Feed. It reads the head before the page, so that the changes after the returned
// revision include all that the page lacks.
func (f PolledFeed) Page(ctx context.Context, cursor Cursor) (Changes, Cursor, error) {
	start := clock.Now()
	head, err := readHead(ctx, f.Heads.Service, f.Group)
	if err != nil {
		return Changes{}, cursor, err
	}
	rows, err := f.Heads.Service.List(ctx, f.Parts[cursor.Part], cursor.Key, logPageSize)
	if err != nil {
		return Changes{}, cursor, err
	}
	page := Changes{Revision: head, Now: wallClock(), AsOf: start}
	for _, row := range rows {
		if row.Unreadable != nil {
			// If the version is missing too, the watcher ignores the row, so it is reported here.
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
			// The change is also in the rows of the group, which a whole read returns.
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

// wallClock returns the wall clock in place of the service's monotonic clock, which the protocol
// does not have. It only serves deadlines that are hours away.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
