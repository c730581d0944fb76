package batch

import (
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestService_UnreadableRowsDoNotHideOtherBatches damages the rows of one batch of three:
// the feeder and the operators still see the others.
func TestService_UnreadableRowsDoNotHideOtherBatches(t *testing.T) {
	shared := tabletest.New()
	reported := 0
	service := &Service{Table: shared, Unreadable: &table.Unreadable{Tell: func(*table.UnreadableError) { reported++ }}}
	for _, id := range []string{"a", "b", "c"} {
		body, err := encode(&Job{ID: id, Tenant: "t"})
		if err != nil {
			t.Fatal(err)
		}
		if id == "b" {
			body = []byte{0xff}
		}
		for _, key := range []table.Key{jobKey(id), activeKey(id)} {
			if _, err := shared.Commit(t.Context(), "op", table.Write{Key: key, Body: body}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 2 {
		if active, err := service.Active(t.Context()); err != nil || len(active) != 2 {
			t.Errorf("%d are active, %v", len(active), err)
		}
		if listed, err := service.Jobs(t.Context(), "t", 10); err != nil || len(listed) != 2 {
			t.Errorf("%d are listed, %v", len(listed), err)
		}
		if _, err := service.Job(t.Context(), "t", "b"); err == nil {
			t.Error("the damaged one is read")
		}
	}
	if reported != 2 {
		t.Errorf("told %d times, want once for each row", reported)
	}
}
