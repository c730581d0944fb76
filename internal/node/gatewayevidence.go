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
	// evidenceEvery is the time between two words about replicas that fail, and
	// evidenceFanout the number of random nodes that get one: as evidence is told for
	// 3 s, each node tells 120 others, and hears of two reporters of four within a second
	// in a fleet of 90. A node whose replicas are well tells nothing.
	evidenceEvery  = 200 * time.Millisecond
	evidenceFanout = 8
)

// failureTold is what a node has seen of a replica that failed for it or for others.
type failureTold struct {
	Replica   uint64  `cbor:"1,keyasint"`
	Failures  float32 `cbor:"2,keyasint"`
	Successes float32 `cbor:"3,keyasint"`
	// AgeMs is the time since the last failure in ms.
	AgeMs uint16 `cbor:"4,keyasint"`
	// Born tells which start of the replica it is about; absent if the node does not know,
	// and in what earlier versions of the program tell.
	Born int64 `cbor:"5,keyasint,omitempty"`
}

// runEvidence tells other nodes of replicas that fail here, until the context ends.
func (g *Gateway) runEvidence(ctx context.Context) {
	for retry.Sleep(ctx, evidenceEvery) {
		reports := g.replicas.FailureReports(clock.Now())
		if len(reports) == 0 {
			continue
		}
		told := make([]failureTold, len(reports))
		for i, report := range reports {
			told[i] = failureTold{
				Replica: report.Replica, Failures: float32(report.Failures), Successes: float32(report.Successes),
				AgeMs: uint16(report.Age.Milliseconds()), Born: report.StartedUnixMs,
			}
		}
		g.tellSome(g.near.others(), evidenceFanout, peer.KindReplicaFailures, told)
	}
}

// takeEvidence handles messages of peer.KindEvidence.
func (g *Gateway) takeEvidence(from string, _ *net.UDPAddr, body []byte) {
	var told []failureTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("evidence told by a node cannot be read")
		return
	}
	reports := make([]replica.FailureReport, len(told))
	for i, one := range told {
		reports[i] = replica.FailureReport{
			Replica: one.Replica, Failures: float64(one.Failures), Successes: float64(one.Successes),
			Age: time.Duration(one.AgeMs) * time.Millisecond, StartedUnixMs: one.Born,
		}
	}
	node := lease.Node(from)
	g.replicas.AddFailureReports(replica.Reporter{Node: node, Zone: g.roster.Member(node).Zone}, reports, clock.Now())
}

// logEjectedByMany logs that a replica is left out on the evidence of several nodes.
func (c *core) logEjectedByMany(ejection replica.SharedEjection) {
	c.metrics.ejectedByMany.Inc()
	c.log.Warn().Str("replica", ejection.Replica.ID).Str("address", ejection.Replica.Address).Str("zone", ejection.Replica.Zone).
		Int("nodes", ejection.Nodes).Float64("failures", ejection.Failures).Float64("successes", ejection.Successes).
		Dur("for_ms", ejection.For).Bool("prober", ejection.Prober).Msg("replica excluded on evidence of several nodes")
}
