package node

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// demandEvery is the time between two words about demand: a pulse fills slots
	// within the stay of a request, some 0.7 s on the users' deployments.
	demandEvery = 100 * time.Millisecond
	// demandFanout is the number of nodes of a region told each time, whatever the
	// fleet's size; a node hears of as many of its own region in the mean.
	demandFanout = 3
	// demandZone is how many of these are of the own zone: a byte to another zone is
	// dear on some deployments, and slots are divided by zone first.
	demandZone = 2
	// maxDemandPools bounds the pools of one message, each of some 40 bytes.
	maxDemandPools = 16
)

// demandTold is what online requests need of a pool at a node.
type demandTold struct {
	Pool string `cbor:"1,keyasint"`
	// Level is in slots, Share the node's number of them: 0 if its requests are guests
	// in the region of the node that is told.
	Level float32 `cbor:"2,keyasint"`
	Share int     `cbor:"3,keyasint"`
	// Idle is the number of slots that the node has for items and does not use, less those
	// that its items have borrowed; 0 also from programs that do not tell it.
	Idle int `cbor:"4,keyasint,omitempty"`
}

// runDemand tells other nodes what online requests need here, and has items leave slots
// that those of other nodes need, until the context ends.
func (g *Gateway) runDemand(ctx context.Context) {
	for retry.Sleep(ctx, demandEvery) {
		told := map[string][]demandTold{}
		for _, need := range g.replicas.Needs(clock.Now()) {
			addNeed(told, g.near.region(), need)
			if need.Excess > 0 {
				g.runner.PreemptPool(need.Pool, need.Excess, replica.Pressure{Fleet: need.Fleet})
			}
			if need.BorrowedExcess > 0 {
				g.runner.PreemptBorrowed(need.Pool, need.BorrowedExcess, replica.Pressure{Fleet: need.Fleet})
			}
		}
		for region, words := range told {
			g.tellRegion(region, words)
		}
	}
}

// tellRegion tells a few random nodes of a region, most of them in the own zone if that
// lies there.
func (g *Gateway) tellRegion(region string, told []demandTold) {
	fanout := demandFanout
	if region == g.near.region() {
		fanout -= g.tellSome(g.near.zone(), demandZone, peer.KindDemandReport, told)
	}
	g.tellSome(g.near.of(region), fanout, peer.KindDemandReport, told)
}

// addNeed adds a pool to what the node's own region is told, and to what those are told
// where its requests are guests.
func addNeed(told map[string][]demandTold, own string, need replica.Need) {
	add := func(region string, one demandTold) {
		if len(told[region]) < maxDemandPools {
			told[region] = append(told[region], one)
		}
	}
	add(own, demandTold{Pool: need.Pool, Level: float32(need.Level), Share: need.Share, Idle: need.Idle})
	for region, open := range need.Away {
		add(region, demandTold{Pool: need.Pool, Level: float32(open)})
	}
}

// takeDemand handles messages of peer.KindDemand.
func (g *Gateway) takeDemand(_ string, _ *net.UDPAddr, body []byte) {
	var told []demandTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Err(err).Msg("demand told by a node cannot be read")
		return
	}
	now := clock.Now()
	for _, one := range told[:min(len(told), maxDemandPools)] {
		g.replicas.Told(one.Pool, float64(one.Level), one.Share, now)
		g.replicas.ToldIdle(one.Pool, float64(one.Idle), now)
	}
}
