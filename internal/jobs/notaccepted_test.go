package jobs

import (
	"fmt"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestReplicaResult_ConnectionInTime guards against a replica that is ejected because it accepted no connection of an
// item in time, as a sound one may, and against one that is not although it refuses connections.
func TestReplicaResult_ConnectionInTime(t *testing.T) {
	for _, c := range []struct {
		err  error
		want replica.Result
	}{
		{fmt.Errorf("%w: %w", forward.ErrUnreachable, forward.ErrNotAccepted), replica.NotAccepted},
		{forward.ErrUnreachable, replica.Unreachable},
	} {
		if result := replicaResult(t.Context(), outcome.AsNotDone(c.err)); result != c.want {
			t.Errorf("%v: %v, want %v", c.err, result, c.want)
		}
	}
}
