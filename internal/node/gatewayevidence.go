package node

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// evidenceEvery is the time between two words about replicas that fail, and
	// evidenceFanout the number of random nodes that get one: as evidence is told for
	// 3 s, each node tells 120 others, and hears of two accusers of four within a second
	// in a fleet of 90. A node whose replicas are well tells nothing.
	evidenceEvery  = 200 * time.Millisecond
	evidenceFanout = 8
)

// blameTold is what a node has seen of a replica that failed for it or for others.
type blameTold struct {
	Replica   uint64  `cbor:"1,keyasint"`
	Failures  float32 `cbor:"2,keyasint"`
	Successes float32 `cbor:"3,keyasint"`
	// AgeMs is the time since the last failure in ms.
	AgeMs uint16 `cbor:"4,keyasint"`
}

// runEvidence tells other nodes of replicas that fail here, until the context ends.
func (g *Gateway) runEvidence(ctx context.Context) {
	for retry.Sleep(ctx, evidenceEvery) {
		blames := g.replicas.Blames(time.Now())
		if len(blames) == 0 {
			continue
		}
		told := make([]blameTold, len(blames))
		for i, blame := range blames {
			told[i] = blameTold{
				Replica: blame.Replica, Failures: float32(blame.Failures), Successes: float32(blame.Successes),
				AgeMs: uint16(blame.Age.Milliseconds()),
			}
		}
		g.tellSome(g.near.others(), evidenceFanout, peer.KindEvidence, told)
	}
}

// takeEvidence handles messages of peer.KindEvidence.
func (g *Gateway) takeEvidence(from string, _ *net.UDPAddr, body []byte) {
	var told []blameTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("evidence told by a node cannot be read")
		return
	}
	blames := make([]replica.Blame, len(told))
	for i, one := range told {
		blames[i] = replica.Blame{
			Replica: one.Replica, Failures: float64(one.Failures), Successes: float64(one.Successes),
			Age: time.Duration(one.AgeMs) * time.Millisecond,
		}
	}
	node := lease.Node(from)
	g.replicas.TakeBlames(replica.Witness{Node: node, Zone: g.roster.Member(node).Zone}, blames, time.Now())
}

// logCondemned logs that a replica is left out on the evidence of several nodes.
func (c *core) logCondemned(verdict replica.Verdict) {
	c.metrics.condemned.Inc()
	c.log.Warn().Str("replica", verdict.Replica.ID).Str("address", verdict.Replica.Address).Str("zone", verdict.Replica.Zone).
		Int("nodes", verdict.Nodes).Float64("failures", verdict.Failures).Float64("successes", verdict.Successes).
		Dur("for_ms", verdict.For).Bool("prober", verdict.Prober).Msg("replica excluded on evidence of several nodes")
}
