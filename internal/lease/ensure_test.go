package lease

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Guards against callers of Ensure, such as item dispatch and job admission, that block while a
// renewal waits for a lost response.
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
			t.Errorf("Ensure took %v, error %v", time.Since(start), err)
		}
		time.Sleep(37 * time.Millisecond)
	}
}
