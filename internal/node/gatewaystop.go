package node

import (
	"context"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
)

const (
	// stopNotice is how long a stopping gateway still accepts connections: load balancers check
	// readiness about once a second.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the last steps.
	stopReserve = 600 * time.Millisecond
	// answerReserve is the part before that in which requests that are still open are answered.
	answerReserve = 200 * time.Millisecond
	// defaultGrace is the grace period if the settings define none.
	defaultGrace = 8 * time.Second
)

// Stop stops the gateway without interrupting requests: it fails readiness at once, serves while
// callers may still arrive, completes open requests and returns within the grace period. It refuses
// requests that could not be answered until then.
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
	notice := min(stopNotice, grace/2)
	endRequests := g.beginStop(forward.PlannedStop{NoticeEnd: began.Add(notice), End: began.Add(grace - stopReserve - answerReserve)})
	defer endRequests()
	handedBack := make(chan struct{})
	go func() {
		g.handBackJobs(ctx)
		close(handedBack)
	}()
	time.Sleep(notice)
	for _, server := range g.servers {
		// Answers still relayed at the deadline are cut off when the process exits.
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

// beginStop makes requests end in time for a planned stop. The returned function ends those that are open.
func (g *Gateway) beginStop(stop forward.PlannedStop) (end context.CancelFunc) {
	g.forwarder.BeginStop(stop)
	ending, end := clock.WithDeadline(context.Background(), stop.End, forward.ErrStopping)
	context.AfterFunc(ending, func() { g.endRequests(forward.ErrStopping) })
	return end
}

// endWithStop ends requests whose answers have not begun when a planned stop leaves no more time for them.
func (g *Gateway) endWithStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		stop := context.AfterFunc(g.requests, func() {
			cancel(context.Cause(g.requests))
			// The handler may be reading the body, which does not end with the context.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		})
		defer stop()
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, endKey{}, stop)))
	})
}

// endKey is the context key of the function that exempts a request from endWithStop.
type endKey struct{}

// exemptingSink exempts a request from endWithStop once its answer begins. The answer goes on until the process ends.
type exemptingSink struct {
	forward.Sink
	ctx context.Context
}

// Head implements forward.Sink.
func (s exemptingSink) Head(status int, header http.Header) error {
	if exempt, ok := s.ctx.Value(endKey{}).(func() bool); ok {
		exempt()
	}
	return s.Sink.Head(status, header)
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
