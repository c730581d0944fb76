package node

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// A node without callers that wait for changes of jobs polls them rarely, because frequent polls by
// all nodes would cost store calls in proportion to the size of the fleet. A node that changes rows
// notifies the nodes concerned, which then poll at once. The rows are authoritative: if a
// notification is lost, the change is seen at the next poll.

// broadcastInterval is the minimum time between two notifications of all nodes. When many nodes are
// lost at once, one node may end several sessions in a row.
const broadcastInterval = 250 * time.Millisecond

// rowsChanged notifies a node that rows it watches have changed.
type rowsChanged struct {
	// Job is the job that changed; empty if the change is about nodes.
	Job string `cbor:"1,keyasint,omitempty"`
}

// notifyRowsChanged notifies nodes that rows of a job have changed.
func (g *Gateway) notifyRowsChanged(nodes []string, job string) {
	for _, node := range nodes {
		if node == g.settings.Node.ID {
			g.jobWatch.Announce()
			continue
		}
		g.sendToNode(node, peer.KindRowsChanged, rowsChanged{Job: job})
	}
}

// broadcastRowsChanged notifies all nodes, or the relays if there are any, that the set of nodes or the
// quarantine has changed.
func (g *Gateway) broadcastRowsChanged() {
	if g.jobs.Notify == nil || !g.broadcastLimiter.Allow() {
		return
	}
	g.jobWatch.Announce()
	g.broadcast(peer.KindRowsChanged, rowsChanged{})
}

// handleRowsChanged handles peer.KindRowsChanged.
func (g *Gateway) handleRowsChanged(from string, _ *net.UDPAddr, body []byte) {
	var message rowsChanged
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("notification of changed rows cannot be decoded")
		return
	}
	g.jobWatch.Announce()
}
