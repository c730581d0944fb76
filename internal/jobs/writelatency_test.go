package jobs

import (
	"context"
	"testing"
	"time"
)

func TestPace_LostAnswerIsGivenUpSoonInCalm(t *testing.T) {
	var learned writeLatency
	for range 20 {
		learned.observe(6 * time.Millisecond)
	}
	if limit := learned.timeout(0); limit != minWriteTimeout {
		t.Fatalf("an answer is waited for %v, want %v", limit, minWriteTimeout)
	}
	began := time.Now()
	err := learned.call(t.Context(), 0, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	if took := time.Since(began); err == nil || took > 10*minWriteTimeout {
		t.Fatalf("a lost answer took %v, %v", took, err)
	}
}

func TestPace_SlowStoreIsWaitedFor(t *testing.T) {
	var learned writeLatency
	for range 20 {
		learned.observe(360 * time.Millisecond)
	}
	if limit := learned.timeout(0); limit < 2*time.Second {
		t.Fatalf("a slow store is given %v", limit)
	}
	if limit := learned.timeout(30); limit != slowCallTimeout {
		t.Fatalf("no try may take longer than %v, this one %v", slowCallTimeout, limit)
	}
}
