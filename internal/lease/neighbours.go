package lease

import (
	"context"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// readWatched returns the rows of the sessions to look at, and whether these are all.
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

// listAfter lists so many sessions of a partition after a key, fewer if there are no more.
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

// filterSessions returns the rows that are sessions' by their keys. What a row says is not
// looked at: that it is written again is what counts.
func (w *Watcher) filterSessions(rows []table.Row) []table.Row {
	sessions := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		id := sessionID(row.Sort)
		if !isSessionID(id) || sessionKey(id) != row.Key {
			w.Unreadable.Report(row.Refuse(table.Content, errNotSessionKey))
			continue
		}
		sessions = append(sessions, row)
	}
	return sessions
}

// inWatchedRange reports whether a session's row lies in the ring inWatchedRange this one's and
// the last that was read.
func (w *Watcher) inWatchedRange(id, lastKey string) bool {
	own, key := sessionKey(w.Self).Sort, sessionKey(id).Sort
	if lastKey > own {
		return key > own && key <= lastKey
	}
	return key > own || key <= lastKey
}
