package tabletest

import (
	"context"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Follow runs a watcher until the test ends.
func Follow(t *testing.T, watcher *table.Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}
