package lease

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// A renewal that waits for a lost answer does not hold up those who only ask whether the
// session is there: the loop that sends items and each acceptance of a job do.
func TestSession_EnsureOfOneThatIsThereDoesNotWaitForARenewal(t *testing.T) {
	silent := &silentTable{Service: tabletest.New()}
	session := NewSession(silent, "n", Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second})
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	silent.silent.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go session.Run(ctx)
	time.Sleep(2 * time.Second)
	for range 6 {
		began := time.Now()
		if err := session.Ensure(t.Context()); err != nil || time.Since(began) > 150*time.Millisecond {
			t.Errorf("Ensure took %v, %v", time.Since(began), err)
		}
		time.Sleep(37 * time.Millisecond)
	}
}
