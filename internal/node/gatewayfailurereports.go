package node

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// failureReportInterval is the time between two words about replicas that fail, and
	// evidenceFanout the number of random nodes that get one: as evidence is told for
	// 3 s, each node tells 120 others, and hears of two reporters of four within a second
	// in a fleet of 90. A node whose replicas are well tells nothing.
	failureReportInterval  = 200 * time.Millisecond
	failureReportFanout = 8
)

// failureReport is what a node has seen of a replica that failed for it or for others.
type failureReport struct {
	Replica   uint64  `cbor:"1,keyasint"`
	Failures  float32 `cbor:"2,keyasint"`
	Successes float32 `cbor:"3,keyasint"`
	// AgeMs is the time since the last failure in ms.
	AgeMs uint16 `cbor:"4,keyasint"`
	// StartedUnixMs tells which start of the replica it is about; absent if the node does not know,
	// and in what earlier versions of the program tell.
	StartedUnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// runFailureReports tells other nodes of replicas that fail here, until the context ends.
func (g *Gateway) runFailureReports(ctx context.Context) {
	for retry.Sleep(ctx, failureReportInterval) {
		reports := g.replicas.FailureReports(clock.Now())
		if len(reports) == 0 {
			continue
		}
		message := make([]failureReport, len(reports))
		for i, report := range reports {
			message[i] = failureReport{
				Replica: report.Replica, Failures: float32(report.Failures), Successes: float32(report.Successes),
				AgeMs: uint16(report.Age.Milliseconds()), StartedUnixMs: report.StartedUnixMs,
			}
		}
		g.sendToRandom(g.nodes.others(), failureReportFanout, peer.KindReplicaFailures, message)
	}
}

// handleFailureReports handles messages of peer.KindEvidence.
func (g *Gateway) handleFailureReports(from string, _ *net.UDPAddr, body []byte) {
	var message []failureReport
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("evidence told by a node cannot be read")
		return
	}
	reports := make([]replica.FailureReport, len(message))
	for i, report := range message {
		reports[i] = replica.FailureReport{
			Replica: report.Replica, Failures: float64(report.Failures), Successes: float64(report.Successes),
			Age: time.Duration(report.AgeMs) * time.Millisecond, StartedUnixMs: report.StartedUnixMs,
		}
	}
	node := lease.Node(from)
	g.replicas.AddFailureReports(replica.Reporter{Node: node, Zone: g.roster.Member(node).Zone}, reports, clock.Now())
}

// logSharedEjection logs that a replica is left out on the evidence of several nodes.
func (c *core) logSharedEjection(ejection replica.SharedEjection) {
	c.metrics.sharedEjections.Inc()
	c.log.Warn().Str("replica", ejection.Replica.ID).Str("address", ejection.Replica.Address).Str("zone", ejection.Replica.Zone).
		Int("nodes", ejection.Nodes).Float64("failures", ejection.Failures).Float64("successes", ejection.Successes).
		Dur("for_ms", ejection.For).Bool("prober", ejection.Prober).Msg("replica excluded on evidence of several nodes")
}
