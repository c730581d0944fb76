package lease

import (
	"context"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// readWatched returns the rows of the watched sessions, and whether these are all sessions.
func (w *Watcher) readWatched(ctx context.Context) (rows []table.Row, all bool, err error) {
	if w.Neighbours == 0 {
		rows, err = listSessions(ctx, w.service)
		return w.filterSessions(rows), true, err
	}
	own := sessionKey(w.Self).Sort
	first := partitionOf(ringHash(w.Self))
	for step := range partitionCount + 1 {
		after := ""
		if step == 0 {
			after = own
		}
		page, err := w.listAfter(ctx, partitionName((first+step)%partitionCount), after, w.Neighbours-len(rows))
		if err != nil {
			return nil, false, err
		}
		for _, row := range page {
			if step == partitionCount && row.Sort >= own {
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
func (w *Watcher) listAfter(ctx context.Context, partition, after string, count int) ([]table.Row, error) {
	var rows []table.Row
	for {
		missing := count - len(rows)
		page, err := w.service.List(ctx, partition, after, missing)
		if err != nil {
			return nil, err
		}
		rows = append(rows, w.filterSessions(page)...)
		if len(page) < missing || len(rows) == count {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
}

// filterSessions drops the rows whose keys are not session keys, and reports them. The bodies
// are not checked: only the renewal of a row matters.
func (w *Watcher) filterSessions(rows []table.Row) []table.Row {
	sessions := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		id := sessionID(row.Sort)
		if !isSessionID(id) || sessionKey(id) != row.Key {
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
