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
	// demandInterval is the time between two words about demand: a pulse fills slots
	// within the stay of a request, some 0.7 s on the users' deployments.
	demandInterval = 100 * time.Millisecond
	// demandFanout is the number of nodes of a region told each time, whatever the
	// fleet's size; a node hears of as many of its own region in the mean.
	demandFanout = 3
	// demandZoneFanout is how many of these are of the own zone: a byte to another zone is
	// dear on some deployments, and slots are divided by zone first.
	demandZoneFanout = 2
	// maxDemandPools bounds the pools of one message, each of some 40 bytes.
	maxDemandPools = 16
)

// demandReport is what online requests need of a pool at a node.
type demandReport struct {
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
	for retry.Sleep(ctx, demandInterval) {
		reports := map[string][]demandReport{}
		for _, demand := range g.replicas.UpdateDemand(clock.Now()) {
			addDemand(reports, g.nodes.ownRegion(), demand)
			if demand.Excess > 0 {
				g.runner.YieldPool(demand.Pool, demand.Excess, replica.Pressure{Fleet: demand.FleetUsage})
			}
			if demand.BorrowedExcess > 0 {
				g.runner.YieldBorrowed(demand.Pool, demand.BorrowedExcess, replica.Pressure{Fleet: demand.FleetUsage})
			}
		}
		for region, regional := range reports {
			g.sendDemand(region, regional)
		}
	}
}

// sendDemand tells a few random nodes of a region, most of them in the own zone if that
// lies there.
func (g *Gateway) sendDemand(region string, reports []demandReport) {
	fanout := demandFanout
	if region == g.nodes.ownRegion() {
		fanout -= g.sendToRandom(g.nodes.inZone(), demandZoneFanout, peer.KindDemandReport, reports)
	}
	g.sendToRandom(g.nodes.inRegion(region), fanout, peer.KindDemandReport, reports)
}

// addDemand adds a pool to what the node's own region is told, and to what those are told
// where its requests are guests.
func addDemand(reports map[string][]demandReport, ownRegion string, demand replica.PoolDemand) {
	add := func(region string, report demandReport) {
		if len(reports[region]) < maxDemandPools {
			reports[region] = append(reports[region], report)
		}
	}
	add(ownRegion, demandReport{Pool: demand.Pool, Level: float32(demand.Level), Share: demand.Share, Idle: demand.Idle})
	for region, level := range demand.Away {
		add(region, demandReport{Pool: demand.Pool, Level: float32(level)})
	}
}

// handleDemandReports handles messages of peer.KindDemand.
func (g *Gateway) handleDemandReports(_ string, _ *net.UDPAddr, body []byte) {
	var reports []demandReport
	if err := cbor.Unmarshal(body, &reports); err != nil {
		g.sampled.Warn().Err(err).Msg("demand told by a node cannot be read")
		return
	}
	now := clock.Now()
	for _, report := range reports[:min(len(reports), maxDemandPools)] {
		g.replicas.RecordDemand(report.Pool, float64(report.Level), report.Share, now)
		g.replicas.RecordIdle(report.Pool, float64(report.Idle), now)
	}
}
