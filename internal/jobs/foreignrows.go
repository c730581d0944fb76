package jobs

import (
	"errors"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errForeignRow reports a row of another writer where a new row of a job was to be written.
var errForeignRow = errors.New("row of another writer in place of a new one")

// foreignRows holds the versions of unreadable rows found where a job's progress says that nothing
// has been written yet. They are not the job's, because its results are only written by the
// transaction that lists them, so they may be overwritten. A readable row may be a result that
// callers have seen, if the progress row was reset to an earlier state: it is kept, and the write
// is retried until the progress row includes it.
type foreignRows map[table.Key]uint64

// record records and reports the rows that a conflict shows in the place of new ones.
func (f foreignRows) record(err error, writes []table.Write, unreadable *table.Unreadable) {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for _, write := range writes {
		row, ok := conflict.Row(write.Key)
		if !ok || row.Version == write.Expect {
			continue
		}
		unreadable.Report(row.AsUnreadable(table.Content, errForeignRow))
		if row.Decode(&storedResult{}) != nil {
			f[row.Key] = row.Version
		}
	}
}

// expectExisting makes writes of new rows overwrite the recorded ones.
func (f foreignRows) expectExisting(writes []table.Write) {
	for i := range writes {
		if version, ok := f[writes[i].Key]; ok {
			writes[i].Expect = version
		}
	}
}
