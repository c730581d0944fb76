package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// kindDemand carries []demandTold.
const kindDemand peer.Kind = 3

const (
	// demandEvery is the time between two words about demand: a pulse fills slots
	// within the stay of a request, some 0.7 s on the users' deployments.
	demandEvery = 100 * time.Millisecond
	// demandFanout is the number of nodes told each time, whatever the fleet's size; a
	// node hears of as many in the mean.
	demandFanout = 3
	// maxDemandPools bounds the pools of one message, each of some 40 bytes.
	maxDemandPools = 16
)

// demandTold is what online requests need of a pool at a node.
type demandTold struct {
	Pool string `cbor:"1,keyasint"`
	// Level is in slots, Share the node's number of them.
	Level float32 `cbor:"2,keyasint"`
	Share int     `cbor:"3,keyasint"`
}

// runDemand tells other nodes what online requests need here, and has items leave slots
// that those of other nodes need, until the context ends.
func (g *Gateway) runDemand(ctx context.Context) {
	for retry.Sleep(ctx, demandEvery) {
		now := time.Now()
		var told []demandTold
		for _, need := range g.replicas.Needs(now) {
			if len(told) < maxDemandPools {
				told = append(told, demandTold{Pool: need.Pool, Level: float32(need.Level), Share: need.Share})
			}
			if need.Excess > 0 {
				g.runner.YieldPool(need.Pool, need.Excess, replica.Pressure{Fleet: need.Fleet})
			}
		}
		if len(told) > 0 {
			g.tellSome(demandFanout, kindDemand, told)
		}
	}
}

// tellSome sends a message to so many random other nodes.
func (g *Gateway) tellSome(count int, kind peer.Kind, body any) {
	nodes := g.roster.Nodes()
	if len(nodes) < 2 {
		return
	}
	for range min(count, len(nodes)-1) {
		node := nodes[rand.IntN(len(nodes))]
		if node == g.settings.Node.ID {
			continue
		}
		to, err := net.ResolveUDPAddr("udp4", g.roster.Address(node))
		if err != nil {
			// The node has not told its address.
			continue
		}
		if err := g.peers.Send(to, kind, body); err != nil {
			g.sampled.Warn().Uint8("kind", uint8(kind)).Err(err).Msg("message to a node not sent")
		}
	}
}

// takeDemand handles messages of kindDemand.
func (g *Gateway) takeDemand(_ string, _ *net.UDPAddr, body []byte) {
	var told []demandTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Err(err).Msg("demand told by a node cannot be read")
		return
	}
	now := time.Now()
	for _, one := range told[:min(len(told), maxDemandPools)] {
		g.replicas.Told(one.Pool, float64(one.Level), one.Share, now)
	}
}
