package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// listenPeers opens the socket for other nodes, if one is set.
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
	socket.Handle(peer.KindDemandReport, g.takeDemand)
	socket.Handle(peer.KindRowsChanged, g.takeNews)
	socket.Handle(peer.KindReplicaFailures, g.takeEvidence)
	socket.Handle(peer.KindCrashReport, g.takeHarm)
	g.harm.publisher.Broadcast, g.harm.guard.QueryPeers = g.tellHarm, g.askHarm
	g.harm.publisher.OnWritten = g.tellAllNews
	g.jobs.Notify = g.tellNews
	g.quota.Sender = socket
	g.answerCold(socket)
	g.metrics.registerPeers(socket)
	return g.listenHeld()
}

func (g *Gateway) runPeers(ctx context.Context) {
	g.spawn(func() { g.quota.Run(ctx) })
	if g.peers == nil {
		return
	}
	g.spawn(func() { g.runDemand(ctx) })
	g.spawn(func() { g.runEvidence(ctx) })
	g.spawn(func() { g.runProven(ctx) })
	g.spawn(func() { g.runBootstrap(ctx) })
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
	g.closeHeld()
	if err := g.peers.Close(); err != nil {
		g.log.Warn().Err(err).Msg("socket for other nodes not closed")
	}
}

// tellNode sends a message to a node that has told where it is reached. Nothing that must
// hold hangs on its arrival.
func (g *Gateway) tellNode(node string, kind peer.Kind, body any) {
	address := g.roster.Address(node)
	if address == "" {
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		err = g.peers.Send(to, kind, body)
	}
	if err != nil {
		g.sampled.Warn().Str("node", node).Uint8("kind", uint8(kind)).Err(err).Msg("message to a node not sent")
	}
}

// tellOthers sends a message to all other nodes.
func (g *Gateway) tellOthers(kind peer.Kind, body any) {
	for _, node := range g.near.others() {
		g.tellNode(node, kind, body)
	}
}

// tellSome sends a message to so many random ones of some other nodes, fewer if they are
// not as many. It returns the number.
func (g *Gateway) tellSome(nodes []string, count int, kind peer.Kind, body any) int {
	count = min(count, len(nodes))
	for range count {
		g.tellNode(nodes[rand.IntN(len(nodes))], kind, body)
	}
	return count
}
