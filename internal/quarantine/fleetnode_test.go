package quarantine_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// flakyTable answers nothing while it is away.
type flakyTable struct {
	*tabletest.Table
	mu   sync.Mutex
	away bool
}

var errAway = errors.New("away")

func (t *flakyTable) set(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
}

func (t *flakyTable) isAway() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.away
}

func (t *flakyTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if t.isAway() {
		return nil, errAway
	}
	return t.Table.Commit(ctx, operation, writes...)
}

// flakyFeed is a feed of it.
type flakyFeed struct {
	table.Feed
	table *flakyTable
}

func (f flakyFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if f.table.isAway() {
		return table.Changes{}, cursor, errAway
	}
	return f.Feed.Page(ctx, cursor)
}

func (f flakyFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if f.table.isAway() {
		return table.Changes{}, errAway
	}
	changes, err := f.Feed.After(ctx, revision, wait)
	if f.table.isAway() {
		return table.Changes{}, errAway
	}
	return changes, err
}

// Standing implements quarantine.Replicas.
func (n *fleetNode) Standing(replica quarantine.Replica) quarantine.Standing {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, one := range n.fleet.replicas {
		switch start := one.start(); {
		case one.gone || start.ID != replica.ID:
		case start == replica:
			return quarantine.Serving
		default:
			return quarantine.Restarted
		}
	}
	return quarantine.Gone
}

// Probe implements quarantine.Replicas.
func (n *fleetNode) Probe(_ context.Context, address string) quarantine.Probe {
	time.Sleep(2 * fleetWay)
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, one := range n.fleet.replicas {
		if one.name == address && !one.down {
			return quarantine.Accepted
		}
	}
	return quarantine.Refused
}

// Ended implements quarantine.Events.
func (n *fleetNode) Ended(report quarantine.Report) { n.publisher.Report(report) }

// Cleared implements quarantine.Events.
func (n *fleetNode) Cleared(before quarantine.Verdict, at time.Time) {
	n.publisher.Clear(quarantine.Clearing{Work: before.Work, At: at})
}

// Quarantined implements quarantine.Events: others are asked for what speaks for the work.
func (n *fleetNode) Quarantined(verdict quarantine.Verdict) {
	if n.fleet.unsaid {
		return
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, other := range n.fleet.nodes {
		if other == n || n.fleet.random.Float64() < n.fleet.lossy {
			continue
		}
		time.AfterFunc(fleetWay, func() {
			if at, ok := other.list.EndedWell(verdict.Work); ok {
				time.AfterFunc(fleetWay, func() { n.list.Clear(verdict.Work, at) })
			}
		})
	}
}

// tell sends news to the other nodes, in messages that are lost, doubled and late.
func (n *fleetNode) tell(news quarantine.News) {
	if n.fleet.unsaid {
		return
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, other := range n.fleet.nodes {
		if other == n || n.fleet.random.Float64() < n.fleet.lossy {
			continue
		}
		for range 1 + n.fleet.random.IntN(2) {
			late := fleetWay + time.Duration(n.fleet.random.Int64N(int64(100*time.Millisecond)))
			time.AfterFunc(late, func() { other.take(news) })
		}
	}
}

func (n *fleetNode) take(news quarantine.News) {
	if n.fleet.aloof {
		return
	}
	for _, report := range news.Reports {
		n.guard.Take(report)
	}
	for _, clearing := range news.Clearings {
		n.list.Clear(clearing.Work, clearing.At)
	}
}
