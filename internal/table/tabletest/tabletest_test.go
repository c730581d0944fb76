package tabletest

import (
	"errors"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// TestFeed_DroppedChangesAreReported guards against a feed that passes over the changes which were dropped, if
// there are newer ones: followers then lack them for good, and tests blame the product.
func TestFeed_DroppedChangesAreReported(t *testing.T) {
	shared := New()
	feed := shared.Feed("group")
	put := func(sort string) {
		t.Helper()
		write := table.Write{Key: table.Key{Partition: "group", Sort: sort}}
		if _, err := shared.Commit(t.Context(), table.NewOperation(), write); err != nil {
			t.Fatal(err)
		}
	}
	put("dropped")
	shared.Compact()
	put("kept")
	if changes, err := feed.After(t.Context(), 0, 0); !errors.Is(err, table.ErrCompacted) {
		t.Errorf("after a version whose changes were dropped: %+v, %v", changes, err)
	}
	if changes, err := feed.After(t.Context(), 1, 0); err != nil || len(changes.Changes) != 1 {
		t.Errorf("after the newest version that was dropped: %+v, %v", changes, err)
	}
}
