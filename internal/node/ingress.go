package node

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
)

// endedBurst is the number of lines a second about ended clients; the metric counts all of them.
const endedBurst = 5

// clientBounds bound what the clients of all listeners of a node make it hold.
type clientBounds struct {
	ingress.Limits
	received bytebudget.Budget
}

func (b *clientBounds) set(limits ingress.Limits) {
	b.Limits, b.received.Limit = limits, limits.Bytes
}

// newGuard returns a guard of a listener that may have the given number of connections.
func (c *core) newGuard(connections int) *ingress.Guard {
	log := c.log.Sample(&zerolog.BurstSampler{Burst: endedBurst, Period: time.Second})
	return &ingress.Guard{
		Connections: connections, Budget: &c.clients.received, RetryAfter: retryAfter,
		OnEnded: func(reason ingress.Reason, remote net.Addr) {
			c.metrics.clientsEnded.WithLabelValues(string(reason)).Inc()
			log.Info().Str("reason", string(reason)).Stringer("remote", remote).Msg("client ended")
		},
	}
}

// maxHead returns the limit of a caller's head in bytes.
func (g *Gateway) maxHead() int {
	if routes := g.Routes(); routes != nil && routes.Limits.MaxHeaderBytes > 0 {
		return routes.Limits.MaxHeaderBytes
	}
	return ingress.DefaultMaxHead
}

// clientTimeouts returns how long a caller may take: what the configuration says, or the defaults if these are
// longer.
func (g *Gateway) clientTimeouts() ingress.Timeouts {
	timeouts := ingress.Timeouts{Head: gatewayHeaderTimeout, Idle: gatewayIdleTimeout}
	if routes := g.Routes(); routes != nil {
		timeouts.Head = max(timeouts.Head, routes.Limits.HeaderTimeout)
		timeouts.Idle = max(timeouts.Idle, routes.Limits.IdleTimeout)
	}
	return timeouts
}
