package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/tenant"
	"github.com/wheelhoist/wheelhoist/platform"
)

var _ platform.Gateway = (*Gateway)(nil)

// Routes implements platform.Gateway.
func (g *Gateway) Routes() *route.Table { return g.routes.Load() }

// staleKeyAge is the age of the configuration above which an unknown key may be a new one. The
// configuration's source responds at least every 1.5 s (table.Watcher).
const staleKeyAge = 3 * time.Second

// Identify implements platform.Gateway. A node that gets no updates of the configuration still
// accepts the keys that it knows, unless the settings bound the age. Other keys may have been added
// meanwhile, so it reports tenant.ErrStale for them instead of tenant.ErrUnknownKey.
func (g *Gateway) Identify(routes *route.Table, header http.Header, public bool) (*tenant.Tenant, error) {
	age := g.configWatch.Age()
	caller, err := routes.Identify(header, public)
	bound := time.Duration(g.settings.Gateway.MaxConfigAge)
	switch {
	case caller != nil && bound > 0 && age > bound, errors.Is(err, tenant.ErrUnknownKey) && age > staleKeyAge:
		return nil, tenant.Error.Wrap(tenant.ErrStale)
	default:
		return caller, err
	}
}

// RetryAfter implements platform.Gateway.
func (g *Gateway) RetryAfter() time.Duration { return retryAfter }

// Stopping implements platform.Gateway.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Ready implements platform.Gateway. A gateway is ready once it knows routes, evacuations and
// replicas. It stays ready while all zones are evacuated: it still accepts jobs, its refusals are
// correct, and no other node could do more.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.routes.Load() != nil && g.populated()
}

// Forward implements platform.Gateway.
func (g *Gateway) Forward(r *http.Request, target *route.Route, request *forward.Request, sink forward.Sink) (forward.Result, error) {
	g.awaitCrashes(r.Context())
	if err := g.admit(r.Context(), request); err != nil {
		return forward.Result{}, err
	}
	result, err := g.forward(r.Context(), target, request, exemptingSink{sink, r.Context()})
	if err != nil && outcome.Of(err) == outcome.NotDone {
		g.quota.Limiter.Refund(request.Tenant)
	}
	return result, err
}

// Status returns the status of this gateway and its view of the fleet.
func (g *Gateway) Status() server.NodeStatus {
	status := g.core.status()
	status.Node, status.Zone = g.settings.Node.ID, g.settings.Node.Zone
	if routes := g.routes.Load(); routes != nil {
		status.Revision = routes.Version
	}
	status.Serving, status.Draining = g.Ready(), g.Stopping()
	status.Open = g.open.Load()
	status.ConfigAge = g.configWatch.Age().Seconds()
	status.Tenants = g.tenantUsage()
	return status
}

// statusHandler serves the metrics, the status and the operators' quarantine interface.
func (g *Gateway) statusHandler() http.Handler {
	metrics := g.metrics.handler()
	quarantine := server.QuarantineHandler(g, func(r *http.Request) bool {
		return server.IsOperator(r.Header, g.settings.Operator.KeySHA256)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, server.PathQuarantine) {
			quarantine.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != server.PathStatus {
			metrics.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the caller is gone.
		_ = json.NewEncoder(w).Encode(g.Status())
	})
}

// Rejected implements platform.Gateway.
func (g *Gateway) Rejected(id, reason string, status int) {
	g.metrics.rejected.WithLabelValues(reason).Inc()
	g.log.Info().Str("request", id).Str("reason", reason).Int("status", status).Msg("request turned away")
}
