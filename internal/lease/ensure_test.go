package lease

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// A renewal that waits for a lost answer does not hold up those who only ask whether the
// session is there: the loop that sends items and each acceptance of a job do.
func TestSession_EnsureOfExistingSessionDoesNotWaitForRenewal(t *testing.T) {
	service := &unresponsiveTable{Service: tabletest.New()}
	session := NewSession(service, "n", Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second})
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	service.unresponsive.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go session.Run(ctx)
	time.Sleep(2 * time.Second)
	for range 6 {
		start := time.Now()
		if err := session.Ensure(t.Context()); err != nil || time.Since(start) > 150*time.Millisecond {
			t.Errorf("Ensure took %v, %v", time.Since(start), err)
		}
		time.Sleep(37 * time.Millisecond)
	}
}
