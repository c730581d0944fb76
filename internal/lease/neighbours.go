package lease

import (
	"cmp"
	"context"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// readWatched returns the rows of the watched sessions, and whether these are all sessions.
func (w *Watcher) readWatched(ctx context.Context) (rows []table.Row, all bool, err error) {
	if w.Neighbours == 0 {
		rows, err = listSessions(ctx, w.service)
		return w.filterSessions(rows, basePartitions), true, err
	}
	all = true
	for _, partitions := range w.layouts() {
		neighbours, complete, err := w.readNeighbours(ctx, partitions)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, neighbours...)
		all = all && complete
	}
	rows = w.nearest(rows)
	if len(rows) > w.Neighbours {
		return rows[:w.Neighbours], false, nil
	}
	return rows, all, nil
}

// layouts returns the numbers of partitions among which rows are placed.
func (w *Watcher) layouts() []int {
	if w.Layouts == nil {
		return []int{basePartitions}
	}
	return w.Layouts()
}

// nearest sorts rows by the order in which their sessions follow this node's own on the ring. Of two
// rows of a session, one of which was read before and one after a move, it keeps the newer.
func (w *Watcher) nearest(rows []table.Row) []table.Row {
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(w.compareOnRing(a.Sort, b.Sort), cmp.Compare(b.Version, a.Version))
	})
	return slices.CompactFunc(rows, func(a, b table.Row) bool { return a.Sort == b.Sort })
}

// compareOnRing compares two sort keys by the order in which they follow this node's own on the ring.
func (w *Watcher) compareOnRing(a, b string) int {
	own := sessionKey(w.Self).Sort
	if (a > own) != (b > own) {
		// Keys past the wrap-around of the ring come last.
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

// readNeighbours returns the rows of the sessions that follow this node's own among those placed among
// a number of partitions, and whether these are all of them.
func (w *Watcher) readNeighbours(ctx context.Context, partitions int) (rows []table.Row, all bool, err error) {
	own := sessionKey(w.Self).Sort
	first := partitionOf(ringHash(w.Self), partitions)
	for step := range partitions + 1 {
		after := ""
		if step == 0 {
			after = own
		}
		page, err := w.listAfter(ctx, (first+step)%partitions, partitions, after, w.Neighbours-len(rows))
		if err != nil {
			return nil, false, err
		}
		for _, row := range page {
			if step == partitions && row.Sort >= own {
				return rows, true, nil
			}
			rows = append(rows, row)
		}
		if len(rows) == w.Neighbours {
			return rows, false, nil
		}
	}
	return rows, true, nil
}

// listAfter lists up to count sessions of a partition whose sort keys follow after.
func (w *Watcher) listAfter(ctx context.Context, index, partitions int, after string, count int) ([]table.Row, error) {
	var rows []table.Row
	for {
		missing := count - len(rows)
		page, err := w.service.List(ctx, partitionName(index, partitions), after, missing)
		if err != nil {
			return nil, err
		}
		rows = append(rows, w.filterSessions(page, partitions)...)
		if len(page) < missing || len(rows) == count {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
}

// filterSessions drops the rows whose keys are not those of sessions placed among a number of
// partitions, and reports them. The bodies are not checked: only the renewal of a row matters.
func (w *Watcher) filterSessions(rows []table.Row, partitions int) []table.Row {
	sessions := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		id := sessionID(row.Sort)
		if !isSessionID(id) || sessionKeyAmong(partitions, id) != row.Key {
			w.Unreadable.Report(row.AsUnreadable(table.Content, errNotSessionKey))
			continue
		}
		sessions = append(sessions, row)
	}
	return sessions
}

// inWatchedRange reports whether the row of a session lies on the ring between this node's own
// row and the last row that was read.
func (w *Watcher) inWatchedRange(id, lastKey string) bool {
	own, key := sessionKey(w.Self).Sort, sessionKey(id).Sort
	if lastKey > own {
		return key > own && key <= lastKey
	}
	return key > own || key <= lastKey
}
