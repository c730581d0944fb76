package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// stopNotice is how long a stopping gateway goes on accepting connections,
	// for those who send callers here look at it every second or so.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part of the grace period kept for the very end.
	stopReserve = 600 * time.Millisecond
	// defaultGrace is used when the settings name none.
	defaultGrace = 8 * time.Second
)

// Stop ends the gateway without cutting a request: it fails readiness at once,
// serves on while callers may still come, finishes what is open and returns
// within the grace period.
func (g *Gateway) Stop() {
	began := clock.Now()
	grace := time.Duration(g.settings.Gateway.Grace)
	if grace == 0 {
		grace = defaultGrace
	}
	g.stopping.Store(true)
	g.log.Info().Dur("grace_ms", grace).Msg("gateway stopping")
	ctx, cancel := clock.WithDeadline(context.Background(), began.Add(grace-stopReserve), context.DeadlineExceeded)
	defer cancel()
	handedBack := make(chan struct{})
	go func() {
		g.handBackJobs(ctx)
		close(handedBack)
	}()
	time.Sleep(min(stopNotice, grace/2))
	for _, server := range g.servers {
		// What is still open at the deadline is cut by the end of the process.
		_ = server.Shutdown(ctx)
	}
	<-handedBack
	g.quota.AnnounceStop()
	g.cancel()
	g.closePeers()
	g.store.Close()
	g.backend.Close()
	g.log.Info().Dur("took_ms", clock.Since(began)).Msg("gateway stopped")
}

// Kill ends the gateway at once, as a crash would; for tests.
func (g *Gateway) Kill() {
	for _, server := range g.servers {
		_ = server.Close()
	}
	g.cancel()
	g.closePeers()
	g.running.Wait()
	g.store.Close()
	g.backend.Close()
}
