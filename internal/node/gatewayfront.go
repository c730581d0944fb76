package node

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/platform"
)

var _ platform.Gateway = (*Gateway)(nil)

// Routes implements platform.Gateway.
func (g *Gateway) Routes() *route.Table { return g.routes.Load() }

// ComeBack implements platform.Gateway.
func (g *Gateway) ComeBack() time.Duration { return comeBack }

// Stopping implements platform.Gateway.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Ready implements platform.Gateway: routes and replicas are known.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.routes.Load() != nil && g.replicaWatch.Ready() && g.jobWatch.Ready()
}

// Forward implements platform.Gateway.
func (g *Gateway) Forward(r *http.Request, target *route.Route, request *forward.Request, sink forward.Sink) (forward.Result, error) {
	g.metrics.open.Inc()
	defer g.metrics.open.Dec()
	result, err := g.forwarder.Do(r.Context(), target, request, sink)
	g.metrics.forwarded(target, result, err)
	g.logRequest(target, request, result, err)
	return result, err
}

// Turned implements platform.Gateway.
func (g *Gateway) Turned(id, reason string, status int) {
	g.metrics.turned.WithLabelValues(reason).Inc()
	g.log.Info().Str("request", id).Str("reason", reason).Int("status", status).Msg("request turned away")
}

func (g *Gateway) logRequest(target *route.Route, request *forward.Request, result forward.Result, err error) {
	entry := g.log.Debug()
	if err != nil {
		entry = g.log.Warn().Err(err).Stringer("ran", outcome.Of(err))
	}
	entry.Str("request", request.ID).Str("route", target.Name).Str("pool", result.Pool).
		Str("replica", result.Replica).Int("status", result.Status).Int("attempts", result.Attempts).
		Int("refusals", result.Refusals).Int("events", result.Events).Bool("started", result.Started).
		Dur("first_ms", result.First).Dur("max_gap_ms", result.MaxGap).
		Dur("took_ms", time.Since(request.Received)).Msg("request ended")
}

// requestLog logs the attempts of requests.
type requestLog struct{ log zerolog.Logger }

// Sent implements forward.Notice.
func (l *requestLog) Sent(request *forward.Request, attempt int, chosen *replica.Candidate) {
	l.log.Debug().Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).
		Int("open", chosen.Open).Float64("others", chosen.Others).Int("pending_tokens", chosen.PendingTokens).
		Msg("attempt sent")
}

// Failed implements forward.Notice.
func (l *requestLog) Failed(request *forward.Request, attempt int, chosen replica.Info, err error) {
	l.log.Info().Str("request", request.ID).Int("attempt", attempt).Str("replica", chosen.ID).
		Str("address", chosen.Address).Err(err).Stringer("ran", outcome.Of(err)).Msg("attempt failed")
}
