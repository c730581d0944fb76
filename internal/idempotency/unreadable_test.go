package idempotency

import (
	"errors"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestBegin_UnreadableClaimIsUndecided checks that a request with a corrupt claim neither runs again
// nor is reported as not run, because it may have run.
func TestBegin_UnreadableClaimIsUndecided(t *testing.T) {
	service := tabletest.New()
	store := NewStore(service)
	reported := 0
	store.Unreadable = &table.Unreadable{OnUnreadable: func(*table.UnreadableError) { reported++ }}
	claim, err := store.Begin(t.Context(), "tenant", "key", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.Commit(t.Context(), "other", table.Write{Key: claim.key, Expect: 1, Body: []byte{0xff}}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		_, err := store.Begin(t.Context(), "tenant", "key", []byte("body"))
		if !errors.Is(err, ErrInProgress) || outcome.Of(err) != outcome.Unknown {
			t.Errorf("Begin with a corrupt claim: error %v, outcome %v", err, outcome.Of(err))
		}
	}
	if reported != 1 {
		t.Errorf("unreadable claim reported %d times, want 1", reported)
	}
	if _, err := store.Begin(t.Context(), "tenant", "other", []byte("body")); err != nil {
		t.Errorf("Begin with another key: %v", err)
	}
}
