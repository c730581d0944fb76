package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quota"
	"github.com/wheelhoist/wheelhoist/internal/server"
)

// noPeers implements quota.Sender for nodes without a socket.
type noPeers struct{}

var errNoPeers = errors.New("no address for other nodes is set")

// Send implements quota.Sender.
func (noPeers) Send(*net.UDPAddr, peer.Kind, any) error { return errNoPeers }

func (g *Gateway) buildQuota(roster *lease.Roster) {
	declared := g.settings.Gateway.Quota
	g.quota = quota.NewCoordinator(quota.Tolerance{
		Slack: declared.Slack, Window: time.Duration(declared.Window), SlackRatio: declared.Over,
	}, &quotaFleet{session: g.session, self: g.settings.Node.ID, roster: roster})
	g.quota.Session, g.quota.Sender, g.quota.Limit = g.session.ID(), noPeers{}, g.tenantLimit
	g.quota.OnError = func(err error) { g.sampled.Warn().Err(err).Msg("message between nodes failed") }
}

// tenantLimit returns a tenant's limit in the configuration in force.
func (g *Gateway) tenantLimit(name string) (quota.Limit, bool) {
	routes := g.routes.Load()
	if routes == nil {
		return quota.Limit{}, false
	}
	declared := routes.Tenant(name)
	if declared == nil {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: declared.Rate, Burst: declared.Burst}, true
}

// admit refuses a request that exceeds its tenant's limit.
func (g *Gateway) admit(ctx context.Context, request *forward.Request) error {
	limit, known := g.tenantLimit(request.Tenant)
	if !known {
		return nil
	}
	began := clock.Now()
	err := g.quota.Admit(ctx, request.Tenant, limit)
	if err == nil {
		return nil
	}
	g.metrics.rejected.WithLabelValues("over the limit").Inc()
	entry := g.sampled.Info().Str("request", request.ID).Str("tenant", request.Tenant).Dur("took_ms", clock.Since(began))
	var refusal *quota.RefusalError
	if errors.As(err, &refusal) {
		entry.Float64("rate", limit.Rate).Float64("burst", limit.Burst).Float64("part", refusal.Share).
			Dur("told_age_ms", refusal.GrantAge).Dur("retry_after_ms", refusal.RetryAfter)
	}
	entry.Msg("request over its tenant's limit")
	return Error.Wrap(outcome.AsNotDone(err))
}

// tenantUsage returns the usage of tenants' limits, sorted by name.
func (g *Gateway) tenantUsage() []server.TenantUsage {
	var usages []server.TenantUsage
	for _, usage := range g.quota.Limiter.Usage(clock.Now()) {
		usages = append(usages, server.TenantUsage{
			Name: usage.Tenant, Rate: usage.Limit.Rate, Burst: usage.Limit.Burst, Demand: usage.Demand,
			Admitted: usage.Admitted, Share: usage.Share, GrantAge: usage.GrantAge.Seconds(),
		})
	}
	slices.SortFunc(usages, func(a, b server.TenantUsage) int { return strings.Compare(a.Name, b.Name) })
	return usages
}
