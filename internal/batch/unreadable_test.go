package batch

import (
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestService_UnreadableRowsDoNotHideOtherBatches checks that the feeder and operators still see two
// batches when the rows of a third cannot be decoded.
func TestService_UnreadableRowsDoNotHideOtherBatches(t *testing.T) {
	shared := tabletest.New()
	reported := 0
	service := &Service{Table: shared, Unreadable: &table.Unreadable{OnUnreadable: func(*table.UnreadableError) { reported++ }}}
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
			t.Errorf("Active returned %d jobs, %v, want 2", len(active), err)
		}
		if listed, err := service.Jobs(t.Context(), "t", 10); err != nil || len(listed) != 2 {
			t.Errorf("Jobs returned %d jobs, %v, want 2", len(listed), err)
		}
		if _, err := service.Job(t.Context(), "t", "b"); err == nil {
			t.Error("Job returned an unreadable job without an error")
		}
	}
	if reported != 2 {
		t.Errorf("%d reports, want one for each of 2 unreadable rows", reported)
	}
}
