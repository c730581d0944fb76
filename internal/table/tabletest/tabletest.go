// Package tabletest provides an in-memory table service with fault injection, for tests.
package tabletest

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errLost is the error of a commit whose response is lost.
var errLost = errors.New("answer lost")

// errInjected is the cause of an injected rejection.
var errInjected = errors.New("injected rejection")

// Fault is an injected fault of a commit.
type Fault int

// Faults of commits.
const (
	// None lets the commit succeed.
	None Fault = iota
	// Down rejects the commit without effect, Throttled for too many calls.
	Down
	Throttled
	// Lost applies the commit and loses the response.
	Lost
	// Late loses the response and applies the commit when ApplyLate is called, if its conditions
	// still hold then.
	Late
	// Rejected rejects the commit for good, as a service with smaller limits does.
	Rejected
)

// Table is an in-memory table.Service. All rows share one version counter, as in the platform's
// store. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[table.Key]table.Row
	log  []table.Change
	// compacted is the version up to which changes have been discarded.
	compacted uint64
	version   uint64
	start     time.Time
	late      []lateCommit
	changed   chan struct{}
	// CommitFault, if set, returns the fault of each commit. ReadFault, if set, returns the error
	// of each read.
	CommitFault func(writes []table.Write) Fault
	ReadFault   func() error
}

type lateCommit struct {
	operation string
	writes    []table.Write
}

var _ table.Service = (*Table)(nil)

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[table.Key]table.Row{}, start: clock.Now(), changed: make(chan struct{})}
}

func (t *Table) readFault() error {
	if t.ReadFault == nil {
		return nil
	}
	return t.ReadFault()
}

// Get implements table.Service.
func (t *Table) Get(_ context.Context, key table.Key) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.readFault(); err != nil {
		return table.Row{}, err
	}
	row, ok := t.rows[key]
	if !ok {
		return table.Row{}, outcome.AsNotDone(table.ErrNotFound)
	}
	return row, nil
}

// List implements table.Service.
func (t *Table) List(_ context.Context, partition, after string, limit int) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.readFault(); err != nil {
		return nil, err
	}
	var rows []table.Row
	for key, row := range t.rows {
		if key.Partition == partition && key.Sort > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements table.Service.
func (t *Table) Commit(_ context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := None
	if t.CommitFault != nil {
		fault = t.CommitFault(writes)
	}
	switch fault {
	case Rejected:
		return nil, table.Rejected(writes, errInjected)
	case Down:
		return nil, outcome.AsNotDone(table.ErrUnavailable)
	case Throttled:
		return nil, outcome.AsNotDone(table.ErrThrottled)
	case Late:
		t.late = append(t.late, lateCommit{operation, writes})
		return nil, outcome.AsUnknown(errLost)
	}
	if err := table.CheckSize(writes); err != nil {
		return nil, err
	}
	versions, err := t.apply(operation, writes)
	if fault == Lost {
		return nil, outcome.AsUnknown(errLost)
	}
	return versions, err
}

// ApplyLate applies the late commits whose conditions still hold, and returns their number.
func (t *Table) ApplyLate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, commit := range t.late {
		if _, err := t.apply(commit.operation, commit.writes); err == nil {
			applied++
		}
	}
	t.late = nil
	return applied
}

// apply applies a commit. The caller holds mu.
func (t *Table) apply(operation string, writes []table.Write) ([]uint64, error) {
	conflict := &table.ConflictError{Revision: t.version}
	conditionsHold := true
	for _, write := range writes {
		row, ok := t.rows[write.Key]
		if ok {
			conflict.Rows = append(conflict.Rows, row)
		}
		conditionsHold = conditionsHold && row.Version == write.Expect
	}
	if !conditionsHold {
		return nil, outcome.AsNotDone(conflict)
	}
	t.version++
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		versions[i] = t.version
		t.applyWrite(operation, write)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return versions, nil
}

func (t *Table) applyWrite(operation string, write table.Write) {
	row := table.Row{Key: write.Key, Version: t.version, Operation: operation, Body: write.Body}
	switch write.Kind {
	case table.Put:
		t.rows[write.Key] = row
		t.log = append(t.log, table.Change{Row: row})
	case table.Delete:
		delete(t.rows, write.Key)
		t.log = append(t.log, table.Change{Row: row, Removed: true})
	}
}

// Compact discards the change log.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log, t.compacted = nil, t.version
}

// Feed returns a feed of a group of the table.
func (t *Table) Feed(group string) table.Feed { return &feed{table: t, group: group} }

type feed struct {
	table *Table
	group string
}

func (f *feed) contains(key table.Key) bool {
	return key.Partition == f.group || strings.HasPrefix(key.Partition, f.group+"/")
}

// Page implements table.Feed.
func (f *feed) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if err := f.table.readFault(); err != nil {
		return table.Changes{}, cursor, err
	}
	changes := f.table.emptyChanges()
	for key, row := range f.table.rows {
		if f.contains(key) {
			changes.Changes = append(changes.Changes, table.Change{Row: row})
		}
	}
	return changes, table.Cursor{Done: true}, nil
}

// After implements table.Feed.
func (f *feed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes, changed, err := f.since(revision)
		if err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, outcome.AsUnknown(ctx.Err())
		case <-deadline.C:
			// The changes are as of now, not as of the start of the wait.
			changes, _, err = f.since(revision)
			return changes, err
		case <-changed:
		}
	}
}

func (f *feed) since(revision uint64) (table.Changes, <-chan struct{}, error) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if err := f.table.readFault(); err != nil {
		return table.Changes{}, nil, err
	}
	changes := f.table.emptyChanges()
	if revision < f.table.compacted {
		return changes, nil, table.ErrCompacted
	}
	for _, change := range f.table.log {
		if change.Version > revision && f.contains(change.Key) {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes, f.table.changed, nil
}

// emptyChanges returns the current revision and time without any changes. The caller holds mu.
func (t *Table) emptyChanges() table.Changes {
	return table.Changes{Revision: t.version, Now: clock.Since(t.start)}
}
