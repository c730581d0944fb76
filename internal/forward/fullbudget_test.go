package forward

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// Guards against a sound replica that counts as failed, since other answers left no room for its own.
func TestHeldBody_NoRoomIsNotTheReplicasFault(t *testing.T) {
	budget := &bytebudget.Budget{}
	others := make([]bytebudget.Share, 14)
	for i := range others {
		others[i].Budget = budget
		if err := others[i].Hold(1 << 20); err != nil {
			t.Fatal(err)
		}
	}
	body := heldBody{share: bytebudget.Share{Budget: budget}}
	defer body.share.Release()
	err := body.read(t.Context(), io.LimitReader(bytes.NewReader(make([]byte, 2<<20)), 2<<20))
	if !errors.Is(err, bytebudget.ErrFull) {
		t.Fatalf("an answer of 2 MB beside 14 MB of others: %v", err)
	}
	if got := resultOfError(t.Context(), err); got != replica.Abandoned {
		t.Errorf("the replica counts as %v, want %v: %v", got, replica.Abandoned, err)
	}
}
