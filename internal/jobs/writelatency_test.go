package jobs

import (
	"context"
	"testing"
	"time"
)

func TestWriteLatency_LostAnswerTimesOutSoon(t *testing.T) {
	var latency writeLatency
	for range 20 {
		latency.observe(6 * time.Millisecond)
	}
	if timeout := latency.timeout(0); timeout != minWriteTimeout {
		t.Fatalf("timeout is %v, want %v", timeout, minWriteTimeout)
	}
	start := time.Now()
	err := latency.call(t.Context(), 0, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	if elapsed := time.Since(start); err == nil || elapsed > 10*minWriteTimeout {
		t.Fatalf("a lost answer timed out after %v, %v", elapsed, err)
	}
}

func TestWriteLatency_SlowStoreHasALongTimeout(t *testing.T) {
	var latency writeLatency
	for range 20 {
		latency.observe(360 * time.Millisecond)
	}
	if timeout := latency.timeout(0); timeout < 2*time.Second {
		t.Fatalf("timeout for a slow store is %v", timeout)
	}
	if timeout := latency.timeout(30); timeout != slowCallTimeout {
		t.Fatalf("timeout is limited to %v, this one is %v", slowCallTimeout, timeout)
	}
}
