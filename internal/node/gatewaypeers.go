package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// listenPeers opens the socket for messages between nodes, if an address is set.
func (g *Gateway) listenPeers() error {
	if g.settings.Gateway.Peers == "" {
		return nil
	}
	socket, err := peer.Listen(g.settings.Gateway.Peers, g.session.ID())
	if err != nil {
		return Error.Wrap(err)
	}
	g.peers = socket
	for kind, handler := range g.quota.Handlers() {
		socket.Handle(kind, handler)
	}
	socket.Handle(peer.KindDemandReport, g.handleDemandReports)
	socket.Handle(peer.KindRowsChanged, g.handleRowsChanged)
	socket.Handle(peer.KindReplicaFailures, g.handleFailureReports)
	socket.Handle(peer.KindCrashReport, g.handleQuarantineMessage)
	g.quarantine.publisher.Broadcast, g.quarantine.guard.QueryPeers = g.broadcastUpdate, g.queryPeers
	g.quarantine.broadcastClaim = g.broadcastClaim
	g.quarantine.publisher.OnWritten = g.broadcastRowsChanged
	g.jobs.Notify = g.notifyRowsChanged
	g.quota.Sender = socket
	g.handleColdGrants(socket)
	g.handleTrials(socket)
	g.handleStreamOrigins(socket)
	g.hellos = g.handleHellos(socket)
	g.metrics.registerPeers(socket)
	return g.listenBootstrap()
}

func (g *Gateway) runPeers(ctx context.Context) {
	g.spawn(func() { g.quota.Run(ctx) })
	if g.peers == nil {
		return
	}
	g.replicas.DivideInBackground()
	g.spawn(func() { g.runDemand(ctx) })
	g.spawn(func() { g.runFailureReports(ctx) })
	g.spawn(func() { g.runProvenReports(ctx) })
	g.spawn(func() { g.runBootstrap(ctx) })
	g.spawn(func() { g.runCrashRequests(ctx) })
	g.spawn(func() { g.hellos.run(ctx) })
	g.spawn(func() {
		if err := g.peers.Run(); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.Error().Err(err).Msg("socket for other nodes failed")
		}
	})
}

func (g *Gateway) closePeers() {
	if g.peers == nil {
		return
	}
	g.closeBootstrap()
	if err := g.peers.Close(); err != nil {
		g.log.Warn().Err(err).Msg("socket for other nodes not closed")
	}
}

// sendToNode sends a message to a node whose address is known. Delivery is not guaranteed; nothing
// may depend on it for correctness.
func (g *Gateway) sendToNode(node string, kind peer.Kind, body any) {
	address := g.roster.Address(node)
	if address == "" {
		address = g.contacts.address(node, clock.Now())
	}
	if address == "" {
		return
	}
	g.sendToAddress(node, address, kind, body)
}

// sendToAddress sends a message to a node at an address.
func (g *Gateway) sendToAddress(node, address string, kind peer.Kind, body any) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		err = g.peers.Send(to, kind, body)
	}
	if err != nil {
		g.sampled.Warn().Str("node", node).Uint8("kind", uint8(kind)).Err(err).Msg("message to a node not sent")
	}
}

// broadcast sends a message about rows that this node writes to all other nodes, or to the relays if
// there are any. The other nodes then learn of it from the rows, without a message to each.
func (g *Gateway) broadcast(kind peer.Kind, body any) {
	for _, node := range g.audience() {
		g.sendToNode(node, kind, body)
	}
}

// audience returns the other nodes that broadcasts are sent to.
func (g *Gateway) audience() []string {
	if relays := g.relays.nodes(); len(relays) > 0 {
		return slices.DeleteFunc(slices.Clone(relays), func(node string) bool { return node == g.settings.Node.ID })
	}
	return g.nodes.others()
}

// sendToRandom sends a message to count nodes chosen at random, some possibly more than once, or to
// len(nodes) if that is less. It returns the number of messages.
func (g *Gateway) sendToRandom(nodes []string, count int, kind peer.Kind, body any) int {
	count = min(count, len(nodes))
	for range count {
		g.sendToNode(nodes[rand.IntN(len(nodes))], kind, body)
	}
	return count
}
