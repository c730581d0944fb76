package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// A node that starts knows the other nodes, and is known to them, once both have read the rows of the members.
// Until then it sends hellos to nodes whose addresses it knows otherwise. It and those that reply send each
// other their reports, so that it learns of crashes from its first moments on, and others learn of those that
// it sees.

const (
	// firstHelloPause is the time between the first two rounds of hellos. It doubles up to
	// maxHelloPause.
	firstHelloPause = 200 * time.Millisecond
	maxHelloPause   = 4 * time.Second
	// maxHelloOthers bounds the addresses in one hello.
	maxHelloOthers = 8
	// maxHeardOf bounds the addresses that a node sends a hello to because another one named them, between two
	// rounds.
	maxHeardOf = 16
	// helloReplyRate and helloReplyBurst bound the replies of a node when a whole fleet starts.
	helloReplyRate  = 100
	helloReplyBurst = 50
)

// hello makes a node known to another one.
type hello struct {
	// Reply is set in the reply to a hello.
	Reply bool `cbor:"1,keyasint,omitempty"`
	// Joined is set if the sender has read the members of the fleet.
	Joined bool `cbor:"2,keyasint,omitempty"`
	// Others are addresses of nodes that sent the sender a hello.
	Others []string `cbor:"3,keyasint,omitempty"`
}

// helloExchange sends and receives hellos.
type helloExchange struct {
	gateway *Gateway
	replies *rate.Limiter
	// heardOf receives the addresses that other nodes name.
	heardOf chan string
}

// handleHellos makes this node answer hellos.
func (g *Gateway) handleHellos(socket *peer.Socket) *helloExchange {
	exchange := &helloExchange{
		gateway: g, replies: rate.NewLimiter(helloReplyRate, helloReplyBurst), heardOf: make(chan string, maxHeardOf),
	}
	socket.Handle(peer.KindHello, exchange.handle)
	return exchange
}

// run sends hellos to the nodes that this one knows of until it has read the members of the fleet.
func (g *helloExchange) run(ctx context.Context) {
	for pause := firstHelloPause; ctx.Err() == nil && !g.gateway.roster.Joined(); pause = min(2*pause, maxHelloPause) {
		sent := map[string]bool{g.gateway.peers.Address(): true}
		addresses := g.gateway.sourcesAndSeeds()
		for _, known := range g.gateway.contacts.recent(clock.Now()) {
			addresses = append(addresses, known.address)
		}
		for _, address := range addresses {
			g.send(address, sent)
		}
		g.sendToHeardOf(ctx, pause, sent)
	}
}

// sendToHeardOf sends hellos to the nodes that others name during a pause.
func (g *helloExchange) sendToHeardOf(ctx context.Context, pause time.Duration, sent map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	for range maxHeardOf {
		select {
		case address := <-g.heardOf:
			g.send(address, sent)
		case <-ctx.Done():
			return
		}
	}
	retry.Sleep(ctx, pause)
}

// send sends a hello to a node unless that was done in this round.
func (g *helloExchange) send(address string, sent map[string]bool) {
	if sent[address] {
		return
	}
	sent[address] = true
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		err = g.gateway.peers.Send(to, peer.KindHello, hello{})
	}
	if err != nil {
		g.gateway.sampled.Warn().Str("to", address).Err(err).Msg("hello not sent")
	}
}

// handle handles peer.KindHello.
func (g *helloExchange) handle(from string, source *net.UDPAddr, body []byte) {
	var message hello
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("hello cannot be decoded")
		return
	}
	others := g.others(source.String())
	sender := contact{session: from, address: source.String(), joined: message.Joined, heardAt: clock.Now()}
	if g.gateway.contacts.record(sender) {
		g.gateway.sampled.Info().Str("node", lease.Node(from)).Bool("joined", message.Joined).Msg("hello of another node")
	}
	g.hearOf(message.Others)
	if message.Reply || !g.replies.Allow() {
		return
	}
	reply := hello{Reply: true, Joined: g.gateway.roster.Joined(), Others: others}
	if err := g.gateway.peers.Send(source, peer.KindHello, reply); err != nil {
		g.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply to a hello not sent")
	}
}

// hearOf passes addresses to the loop that sends hellos. What exceeds maxHeardOf is named again in the next round.
func (g *helloExchange) hearOf(addresses []string) {
	for _, address := range addresses[:min(len(addresses), maxHelloOthers)] {
		select {
		case g.heardOf <- address:
		default:
			return
		}
	}
}

// others returns the addresses of the newest contacts except one.
func (g *helloExchange) others(except string) []string {
	var addresses []string
	for _, known := range slices.Backward(g.gateway.contacts.recent(clock.Now())) {
		if known.address != except && len(addresses) < maxHelloOthers {
			addresses = append(addresses, known.address)
		}
	}
	return addresses
}
