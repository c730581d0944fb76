package idempotency

import (
	"errors"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestBegin_AClaimThatCannotBeReadIsUndecided damages the claim of a request: it may have run,
// so it must neither run again nor be promised not to have.
func TestBegin_AClaimThatCannotBeReadIsUndecided(t *testing.T) {
	shared := tabletest.New()
	store := NewStore(shared)
	told := 0
	store.Unreadable = &table.Unreadable{OnUnreadable: func(*table.UnreadableError) { told++ }}
	claim, err := store.Begin(t.Context(), "tenant", "key", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := shared.Commit(t.Context(), "other", table.Write{Key: claim.key, Expect: 1, Body: []byte{0xff}}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		_, err := store.Begin(t.Context(), "tenant", "key", []byte("body"))
		if !errors.Is(err, ErrInProgress) || outcome.Of(err) != outcome.Unknown {
			t.Errorf("begun again: %v, %v", err, outcome.Of(err))
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
	if _, err := store.Begin(t.Context(), "tenant", "other", []byte("body")); err != nil {
		t.Errorf("another key: %v", err)
	}
}
