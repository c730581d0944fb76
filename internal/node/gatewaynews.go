package node

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// A node that has nobody waiting for news of jobs looks at them seldom, for every node
// that looks often costs the store calls in proportion to the fleet. The one that makes
// news tells those whom it concerns, who then look at once. The rows are the truth: a
// word that is lost makes the news as late as the next look.

// tellAllEvery is the least time between two words to all nodes about sessions that were
// ended: when many nodes die at once, one of their watchers ends several in a row.
const tellAllEvery = 250 * time.Millisecond

// newsTold says that rows which nodes follow have changed.
type newsTold struct {
	// Job is the job that the news is about; empty if it is about nodes.
	Job string `cbor:"1,keyasint,omitempty"`
}

// tellNews tells nodes that there is news of a job.
func (g *Gateway) tellNews(nodes []string, job string) {
	for _, node := range nodes {
		if node == g.settings.Node.ID {
			g.jobWatch.Announce()
			continue
		}
		g.tellNode(node, peer.KindRowsChanged, newsTold{Job: job})
	}
}

// tellAllNews tells all nodes that one of them is gone.
func (g *Gateway) tellAllNews() {
	if g.jobs.Notify != nil && g.toldAll.Allow() {
		g.jobs.Notify(g.roster.Nodes(), "")
	}
}

// takeNews handles messages of peer.KindNews.
func (g *Gateway) takeNews(from string, _ *net.UDPAddr, body []byte) {
	var told newsTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("news told by a node cannot be read")
		return
	}
	g.jobWatch.Announce()
}
