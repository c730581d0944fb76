package table

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// logRetention is the number of commits in the log of a group. A follower that is further
	// behind must read the whole group.
	logRetention = 1024
	// logAttempts limits the attempts of a commit that loses to other commits of the same group.
	logAttempts = 40
	// logMaxDelay is the maximum delay before another attempt.
	logMaxDelay = 10 * time.Millisecond
	logPrefix   = "log/"
	// headsPartition holds the head rows of all groups, so that one call reads all of them.
	headsPartition = "log-heads"
)

// Logged is a Service that adds a change log to groups of rows, so that they can be followed by
// polling. It is for services without change notifications. Each commit to a group also increments
// the group's head row and adds a log row with the changes, in the same transaction. Revisions
// are therefore numbered without gaps, and the version of a row is the revision of the commit that
// wrote it.
//
// A group contains the partitions named after it and "name/...". A commit may change rows of at
// most one group.
type Logged struct {
	Service
	Groups []string

	mu sync.Mutex
	// heads caches the newest known revision of each group.
	heads map[string]uint64
}

var _ Service = (*Logged)(nil)

// loggedChange is an encoded change in a log row.
type loggedChange struct {
	Partition string `cbor:"1,keyasint"`
	Sort      string `cbor:"2,keyasint"`
	Body      []byte `cbor:"3,keyasint,omitempty"`
	Removed   bool   `cbor:"4,keyasint,omitempty"`
}

// InGroup reports whether a partition belongs to a group.
func InGroup(partition, group string) bool {
	return partition == group || strings.HasPrefix(partition, group+"/")
}

func headKey(group string) Key { return Key{Partition: headsPartition, Sort: group} }

func logKey(group string, revision uint64) Key {
	return Key{Partition: logPrefix + group, Sort: fmt.Sprintf("%020d", revision)}
}

// groupOf returns the group that a commit changes, or "" if there is none.
func (l *Logged) groupOf(writes []Write) string {
	for _, write := range writes {
		if write.Kind == Check {
			continue
		}
		for _, group := range l.Groups {
			if InGroup(write.Partition, group) {
				return group
			}
		}
	}
	return ""
}

// Commit implements Service. A conflict error contains the current rows.
func (l *Logged) Commit(ctx context.Context, operation string, writes ...Write) ([]uint64, error) {
	group := l.groupOf(writes)
	if group == "" {
		versions, err := l.Service.Commit(ctx, operation, writes...)
		if errors.Is(err, ErrConflict) {
			return nil, l.explain(ctx, writes, 0, err)
		}
		return versions, err
	}
	var err error
	for attempt := range logAttempts {
		var head uint64
		if head, err = l.head(ctx, group, attempt > 0); err != nil {
			return nil, outcome.AsNotDone(err)
		}
		var versions []uint64
		versions, err = l.commitAtHead(ctx, group, head, fmt.Sprintf("%s.%d", operation, attempt), writes)
		if err == nil || !errors.Is(err, ErrConflict) {
			return versions, err
		}
		explained := l.explain(ctx, writes, head, err)
		if !errors.Is(explained, errHeadMoved) {
			return nil, explained
		}
		if !retry.Sleep(ctx, jittered(logMaxDelay)) {
			return nil, outcome.AsNotDone(ErrUnavailable)
		}
	}
	return nil, outcome.AsNotDone(errors.Join(ErrThrottled, err))
}

// errHeadMoved reports a commit that conflicts only with the head row of its group.
var errHeadMoved = errors.New("log head has moved")

// head returns the revision of a group, from the cache unless refresh is set.
func (l *Logged) head(ctx context.Context, group string, refresh bool) (uint64, error) {
	l.mu.Lock()
	cached, ok := l.heads[group]
	l.mu.Unlock()
	if ok && !refresh {
		return cached, nil
	}
	revision, err := readHead(ctx, l.Service, group)
	if err == nil {
		l.recordHead(group, revision)
	}
	return revision, err
}

func (l *Logged) recordHead(group string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heads == nil {
		l.heads = map[string]uint64{}
	}
	l.heads[group] = max(l.heads[group], revision)
}

func readHead(ctx context.Context, service Service, group string) (uint64, error) {
	row, err := service.Get(ctx, headKey(group))
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

// commitAtHead commits on condition that head is still the revision of the group.
func (l *Logged) commitAtHead(ctx context.Context, group string, head uint64, operation string, writes []Write) ([]uint64, error) {
	revision := head + 1
	all := make([]Write, 0, len(writes)+3)
	versions := make([]uint64, len(writes))
	var changes []loggedChange
	for i, write := range writes {
		if write.Kind == Put && InGroup(write.Partition, group) {
			write.Next = revision
		}
		versions[i] = write.NextVersion()
		all = append(all, write)
		if write.Kind != Check && InGroup(write.Partition, group) {
			changes = append(changes, loggedChange{
				Partition: write.Partition, Sort: write.Sort, Body: write.Body, Removed: write.Kind == Delete,
			})
		}
	}
	body, err := cbor.Marshal(changes)
	if err != nil {
		return nil, outcome.AsNotDone(Error.Wrap(err))
	}
	all = append(all,
		Write{Key: headKey(group), Expect: head, Next: revision},
		Write{Key: logKey(group, revision), Expect: Absent, Next: revision, Body: body})
	if revision > logRetention {
		expired := revision - logRetention
		all = append(all, Write{Key: logKey(group, expired), Kind: Delete, Expect: expired})
	}
	if _, err := l.Service.Commit(ctx, operation, all...); err != nil {
		return nil, err
	}
	l.recordHead(group, revision)
	return versions, nil
}

// explain converts a conflict into a ConflictError with the current rows, or into errHeadMoved if
// all conditions of writes hold.
func (l *Logged) explain(ctx context.Context, writes []Write, head uint64, conflict error) error {
	explained := &ConflictError{Revision: head}
	conditionFailed := false
	for _, write := range writes {
		row, err := l.Service.Get(ctx, write.Key)
		switch {
		case errors.Is(err, ErrNotFound):
		case err != nil:
			return conflict
		default:
			explained.Rows = append(explained.Rows, row)
		}
		conditionFailed = conditionFailed || row.Version != write.Expect
	}
	if !conditionFailed {
		return outcome.AsNotDone(errHeadMoved)
	}
	return outcome.AsNotDone(explained)
}
