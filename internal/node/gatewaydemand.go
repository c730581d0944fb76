package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// demandInterval is the time between two demand reports. It is short compared with a request,
	// because a burst fills the slots within the duration of one, about 0.7 s.
	demandInterval = 100 * time.Millisecond
	// demandFanout is the number of nodes of a region that get each report, whatever the size of
	// the fleet. On average, a node receives as many from its own region.
	demandFanout = 3
	// demandZoneFanout is how many of these are in the sender's zone: traffic to other zones may be
	// billed, and slots are divided by zone first.
	demandZoneFanout = 2
	// idleFanout is the number of nodes of another region that get each report of idle slots.
	idleFanout = 1
	// maxDemandPools bounds the pools of one message, each of some 40 bytes.
	maxDemandPools = 16
)

// demandReport is what online requests of a node need of a pool.
type demandReport struct {
	Pool string `cbor:"1,keyasint"`
	// Level is in slots. Share is the number of the node's slots; 0 if its requests run in the
	// receiver's region as guests from another region.
	Level float32 `cbor:"2,keyasint"`
	Share int     `cbor:"3,keyasint"`
	// Idle is the number of slots that the node has for items and does not use, less those that its
	// items have borrowed. It is 0 in reports of versions that do not send it.
	Idle int `cbor:"4,keyasint,omitempty"`
	// IdleElsewhere is Idle in reports to other regions. Versions that do not know it ignore it.
	IdleElsewhere int `cbor:"5,keyasint,omitempty"`
}

// runDemand reports the demand of this node's online requests to other nodes, and preempts items in
// slots that online requests of any node need, until the context ends.
func (g *Gateway) runDemand(ctx context.Context) {
	for retry.Sleep(ctx, demandInterval) {
		reports := map[string][]demandReport{}
		for _, demand := range g.replicas.UpdateDemand(clock.Now()) {
			addDemand(reports, g.nodes.ownRegion(), demand)
			addIdle(reports, g.nodes.otherRegions(), demand)
			if demand.Excess > 0 {
				g.runner.PreemptPool(demand.Pool, demand.Excess, replica.Pressure{Fleet: demand.FleetUsage})
			}
			if demand.BorrowedExcess > 0 {
				g.runner.PreemptBorrowed(demand.Pool, demand.BorrowedExcess, replica.Pressure{Fleet: demand.FleetUsage})
			}
		}
		for region, regional := range reports {
			g.sendDemand(region, regional)
		}
	}
}

// sendDemand sends reports to a few random nodes of a region. In the node's own region, most of
// them are in its own zone. One node of another region gets those of idle slots alone.
func (g *Gateway) sendDemand(region string, reports []demandReport) {
	fanout := demandFanout
	switch own := region == g.nodes.ownRegion(); {
	case !own && !slices.ContainsFunc(reports, demandReport.hasDemand):
		fanout = idleFanout
	case own:
		fanout -= g.sendToRandom(g.nodes.inOwnZone(), demandZoneFanout, peer.KindDemandReport, reports)
	}
	g.sendToRandom(g.nodes.inRegion(region), fanout, peer.KindDemandReport, reports)
}

// addDemand adds the demand for a pool to the reports for the node's own region, and to those for
// regions where its requests run as guests.
func addDemand(reports map[string][]demandReport, ownRegion string, demand replica.PoolDemand) {
	add := func(region string, report demandReport) {
		if len(reports[region]) < maxDemandPools {
			reports[region] = append(reports[region], report)
		}
	}
	add(ownRegion, demandReport{Pool: demand.Pool, Level: float32(demand.Level), Share: demand.Share, Idle: demand.Idle})
	for region, level := range demand.OtherRegions {
		add(region, demandReport{Pool: demand.Pool, Level: float32(level)})
	}
}

// hasDemand reports whether a report is about the demand of online requests.
func (r demandReport) hasDemand() bool { return r.Level > 0 || r.Share > 0 }

// addIdle adds this node's idle slots of a pool to the reports for other regions, whose items may borrow
// them.
func addIdle(reports map[string][]demandReport, otherRegions []string, demand replica.PoolDemand) {
	if demand.Idle <= 0 {
		return
	}
	for _, region := range otherRegions {
		regional := reports[region]
		i := slices.IndexFunc(regional, func(report demandReport) bool { return report.Pool == demand.Pool })
		switch {
		case i >= 0:
			regional[i].IdleElsewhere = demand.Idle
		case len(regional) < maxDemandPools:
			reports[region] = append(regional, demandReport{Pool: demand.Pool, IdleElsewhere: demand.Idle})
		}
	}
}

// handleDemandReports handles peer.KindDemandReport.
func (g *Gateway) handleDemandReports(_ string, _ *net.UDPAddr, body []byte) {
	var reports []demandReport
	if err := cbor.Unmarshal(body, &reports); err != nil {
		g.sampled.Warn().Err(err).Msg("demand report of a node cannot be decoded")
		return
	}
	now := clock.Now()
	for _, report := range reports[:min(len(reports), maxDemandPools)] {
		g.replicas.RecordIdleElsewhere(report.Pool, report.IdleElsewhere, now)
		if report.IdleElsewhere == 0 || report.hasDemand() {
			g.replicas.RecordDemand(report.Pool, float64(report.Level), report.Share, now)
			g.replicas.RecordIdle(report.Pool, float64(report.Idle), now)
		}
	}
}
