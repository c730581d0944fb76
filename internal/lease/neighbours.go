package lease

import (
	"context"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// read returns the rows of the sessions to look at, and whether these are all.
func (w *Watcher) read(ctx context.Context) (rows []table.Row, all bool, err error) {
	if w.Neighbours == 0 {
		rows, err = listSessions(ctx, w.service)
		return w.sessionsOf(rows), true, err
	}
	own := rowKey(w.Self).Sort
	first := partitionOf(ringHash(w.Self))
	for step := range partitions + 1 {
		after := ""
		if step == 0 {
			after = own
		}
		page, err := w.following(ctx, partition((first+step)%partitions), after, w.Neighbours-len(rows))
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

// following lists so many sessions of a partition after a key, fewer if there are no more.
func (w *Watcher) following(ctx context.Context, partition, after string, count int) ([]table.Row, error) {
	var rows []table.Row
	for {
		wanted := count - len(rows)
		page, err := w.service.List(ctx, partition, after, wanted)
		if err != nil {
			return nil, err
		}
		rows = append(rows, w.sessionsOf(page)...)
		if len(page) < wanted || len(rows) == count {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
}

// sessionsOf returns the rows that are sessions' by their keys. What a row says is not
// looked at: that it is written again is what counts.
func (w *Watcher) sessionsOf(rows []table.Row) []table.Row {
	sessions := make([]table.Row, 0, len(rows))
	for _, row := range rows {
		id := sessionOf(row.Sort)
		if !isSession(id) || rowKey(id) != row.Key {
			w.Unreadable.Report(row.Refuse(table.Content, errNoSession))
			continue
		}
		sessions = append(sessions, row)
	}
	return sessions
}

// between reports whether a session's row lies in the ring between this one's and
// the last that was read.
func (w *Watcher) between(id, last string) bool {
	own, key := rowKey(w.Self).Sort, rowKey(id).Sort
	if last > own {
		return key > own && key <= last
	}
	return key > own || key <= last
}
