package jobs

import (
	"errors"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errForeignRow reports a row that stands where none of the job's has been written.
var errForeignRow = errors.New("a row of another writer stands in its place")

// foreignRows are the versions of rows that stand where a job's progress says that nothing
// has been written yet, and that cannot be read. They are not the job's, for each of its
// results is written in the transaction that lists it; so they may be written over. One that
// can be read may be a result that callers have seen, if somebody has put the progress back:
// it stays, and the write is tried on until the progress tells of it.
type foreignRows map[table.Key]uint64

// record takes in the rows that a conflict shows in the place of new ones, and reports them.
func (s foreignRows) record(err error, writes []table.Write, unreadable *table.Unreadable) {
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
			s[row.Key] = row.Version
		}
	}
}

// expectExisting has writes of new rows take the place of those that stand there.
func (s foreignRows) expectExisting(writes []table.Write) {
	for i := range writes {
		if version, ok := s[writes[i].Key]; ok {
			writes[i].Expect = version
		}
	}
}
