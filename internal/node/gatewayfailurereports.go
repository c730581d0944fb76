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
	// failureReportInterval is the time between two messages about failing replicas, and
	// failureReportFanout the number of random nodes that get each. A failure is reported for 3 s,
	// so each node reaches 120 others, and in a fleet of 90 a node has reports of two of four
	// reporters within a second. Nodes without failing replicas send nothing.
	failureReportInterval = 200 * time.Millisecond
	failureReportFanout   = 8
)

// failureReport is what a node observed of a replica that failed for it or for others.
type failureReport struct {
	Replica   uint64  `cbor:"1,keyasint"`
	Failures  float32 `cbor:"2,keyasint"`
	Successes float32 `cbor:"3,keyasint"`
	// AgeMs is the time since the last failure, in ms.
	AgeMs uint16 `cbor:"4,keyasint"`
	// StartedUnixMs identifies the start of the replica. It is absent if the node does not know it,
	// and in reports of earlier versions.
	StartedUnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// runFailureReports reports replicas that fail here to other nodes, until the context ends.
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

// handleFailureReports handles peer.KindReplicaFailures.
func (g *Gateway) handleFailureReports(from string, _ *net.UDPAddr, body []byte) {
	var message []failureReport
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("failure report of a node cannot be decoded")
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

// logSharedEjection counts and logs that a replica is ejected on the evidence of several nodes.
func (c *core) logSharedEjection(ejection replica.SharedEjection) {
	c.metrics.sharedEjections.Inc()
	c.log.Warn().Str("replica", ejection.Replica.ID).Str("address", ejection.Replica.Address).Str("zone", ejection.Replica.Zone).
		Int("nodes", ejection.Nodes).Float64("failures", ejection.Failures).Float64("successes", ejection.Successes).
		Dur("for_ms", ejection.For).Bool("prober", ejection.Prober).Msg("replica excluded on evidence of several nodes")
}
