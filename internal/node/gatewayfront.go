package node

import (
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
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
	return g.forward(r.Context(), target, request, sink)
}

// Turned implements platform.Gateway.
func (g *Gateway) Turned(id, reason string, status int) {
	g.metrics.turned.WithLabelValues(reason).Inc()
	g.log.Info().Str("request", id).Str("reason", reason).Int("status", status).Msg("request turned away")
}
