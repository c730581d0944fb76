package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// stopNotice is how long a stopping gateway still accepts connections: load balancers check
	// readiness about once a second.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the last steps.
	stopReserve = 600 * time.Millisecond
	// defaultGrace is the grace period if the settings define none.
	defaultGrace = 8 * time.Second
)

// Stop stops the gateway without interrupting requests: it fails readiness at once, serves while
// callers may still arrive, completes open requests and returns within the grace period.
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
		// Requests still open at the deadline are cut off when the process exits.
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

// Kill stops the gateway immediately, like a crash. It is for tests.
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
