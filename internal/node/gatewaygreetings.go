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
// Until then it greets nodes whose addresses it knows otherwise. The greeter and those that reply send each
// other their reports, so that it learns of crashes from its first moments on, and others learn of those that
// it sees.

const (
	// firstGreetingPause is the time between the first two rounds of greetings. It doubles up to
	// maxGreetingPause.
	firstGreetingPause = 200 * time.Millisecond
	maxGreetingPause   = 4 * time.Second
	// maxGreetingOthers bounds the addresses in one greeting.
	maxGreetingOthers = 8
	// maxHeardOf bounds the addresses that a node greets because another one named them, between two
	// rounds.
	maxHeardOf = 16
	// greetingReplyRate and greetingReplyBurst bound the replies of a node when a whole fleet starts.
	greetingReplyRate  = 100
	greetingReplyBurst = 50
)

// greeting makes a node known to another one.
type greeting struct {
	// Reply is set in the reply to a greeting.
	Reply bool `cbor:"1,keyasint,omitempty"`
	// Joined is set if the sender has read the members of the fleet.
	Joined bool `cbor:"2,keyasint,omitempty"`
	// Others are addresses of nodes that greeted the sender.
	Others []string `cbor:"3,keyasint,omitempty"`
}

// greeter sends and receives greetings.
type greeter struct {
	gateway *Gateway
	replies *rate.Limiter
	// heardOf receives the addresses that other nodes name.
	heardOf chan string
}

// handleGreetings makes this node answer greetings.
func (g *Gateway) handleGreetings(socket *peer.Socket) *greeter {
	greets := &greeter{
		gateway: g, replies: rate.NewLimiter(greetingReplyRate, greetingReplyBurst), heardOf: make(chan string, maxHeardOf),
	}
	socket.Handle(peer.KindGreeting, greets.handle)
	return greets
}

// run greets the nodes that this one knows of until it has read the members of the fleet.
func (g *greeter) run(ctx context.Context) {
	for pause := firstGreetingPause; ctx.Err() == nil && !g.gateway.roster.Joined(); pause = min(2*pause, maxGreetingPause) {
		greeted := map[string]bool{g.gateway.peers.Address(): true}
		addresses := g.gateway.sourcesAndSeeds()
		for _, known := range g.gateway.acquaintances.recent(clock.Now()) {
			addresses = append(addresses, known.address)
		}
		for _, address := range addresses {
			g.greet(address, greeted)
		}
		g.greetHeardOf(ctx, pause, greeted)
	}
}

// greetHeardOf greets the nodes that others name during a pause.
func (g *greeter) greetHeardOf(ctx context.Context, pause time.Duration, greeted map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	for range maxHeardOf {
		select {
		case address := <-g.heardOf:
			g.greet(address, greeted)
		case <-ctx.Done():
			return
		}
	}
	retry.Sleep(ctx, pause)
}

// greet greets a node unless that was done in this round.
func (g *greeter) greet(address string, greeted map[string]bool) {
	if greeted[address] {
		return
	}
	greeted[address] = true
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		err = g.gateway.peers.Send(to, peer.KindGreeting, greeting{})
	}
	if err != nil {
		g.gateway.sampled.Warn().Str("to", address).Err(err).Msg("greeting not sent")
	}
}

// handle handles peer.KindGreeting.
func (g *greeter) handle(from string, source *net.UDPAddr, body []byte) {
	var message greeting
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("greeting cannot be decoded")
		return
	}
	others := g.others(source.String())
	greeted := acquaintance{session: from, address: source.String(), joined: message.Joined, greetedAt: clock.Now()}
	if g.gateway.acquaintances.record(greeted) {
		g.gateway.sampled.Info().Str("node", lease.Node(from)).Bool("joined", message.Joined).Msg("greeting of another node")
	}
	g.hearOf(message.Others)
	if message.Reply || !g.replies.Allow() {
		return
	}
	reply := greeting{Reply: true, Joined: g.gateway.roster.Joined(), Others: others}
	if err := g.gateway.peers.Send(source, peer.KindGreeting, reply); err != nil {
		g.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply to a greeting not sent")
	}
}

// hearOf passes addresses to the loop that greets them. What exceeds maxHeardOf is named again in the next round.
func (g *greeter) hearOf(addresses []string) {
	for _, address := range addresses[:min(len(addresses), maxGreetingOthers)] {
		select {
		case g.heardOf <- address:
		default:
			return
		}
	}
}

// others returns the addresses of the newest acquaintances except one.
func (g *greeter) others(except string) []string {
	var addresses []string
	for _, known := range slices.Backward(g.gateway.acquaintances.recent(clock.Now())) {
		if known.address != except && len(addresses) < maxGreetingOthers {
			addresses = append(addresses, known.address)
		}
	}
	return addresses
}
