package table_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Guards against a commit whose first answer was lost and that is then repeated until its caller gives up,
// though the table rejects it each time.
func TestCommitSettled_EndsOnceRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tabletest.New()
		faults := []tabletest.Fault{tabletest.Late, tabletest.Rejected}
		calls := 0
		service.CommitFault = func([]table.Write) tabletest.Fault {
			calls++
			return faults[min(calls, len(faults))-1]
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := table.CommitSettled(ctx, service, "operation", table.Write{Key: table.Key{Partition: "p", Sort: "k"}})
		if !errors.Is(err, table.ErrRejected) || outcome.Of(err) != outcome.NotDone || calls != 2 {
			t.Errorf("%v after %d commits", err, calls)
		}
	})
}
