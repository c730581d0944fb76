package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// coldGrantRequest requests permission for one request to a cold replica.
type coldGrantRequest struct {
	Number  uint64 `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	// Presumed is set if the age of its list is the sender's only reason to consider the replica
	// cold.
	Presumed bool `cbor:"3,keyasint,omitempty"`
	// StartedUnixMs identifies the start of the replica that the sender knows. It is absent if
	// unknown, and in requests of earlier versions.
	StartedUnixMs int64 `cbor:"4,keyasint,omitempty"`
	// Ended is set if the only reason is that no replica of the pool accepted connections of the
	// sender. Earlier versions ignore it, and grant sends only if they consider the replica cold.
	Ended bool `cbor:"5,keyasint,omitempty"`
}

// coldGrantReply grants or denies a request.
type coldGrantReply struct {
	Number  uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// coldGranter requests grants for cold replicas from other nodes and replies to their requests.
type coldGranter struct {
	replicas *replica.Set
	roster   *lease.Roster
	send     func(to *net.UDPAddr, kind peer.Kind, body any) error
	onError  func(err error)

	pending peer.Pending[bool]
}

// handleColdGrants makes this node request grants for cold replicas from other nodes, and reply to
// theirs.
func (g *Gateway) handleColdGrants(socket *peer.Socket) {
	granter := &coldGranter{replicas: g.replicas, roster: g.roster, send: socket.Send}
	granter.onError = func(err error) { g.sampled.Warn().Err(err).Msg("message about a cold replica failed") }
	socket.Handle(peer.KindColdGrantRequest, granter.handleRequest(clock.Now))
	socket.Handle(peer.KindColdGrantReply, granter.handleReply)
	g.forwarder.ColdGranter = granter
}

// RequestGrant implements forward.ColdGranter. If a message is lost, the wait ends with the context
// and nothing is granted.
func (c *coldGranter) RequestGrant(ctx context.Context, sender replica.ColdSender) bool {
	to, err := net.ResolveUDPAddr("udp4", c.roster.Address(sender.Node))
	if err != nil {
		// The address of the node is not known.
		return false
	}
	number := rand.Uint64()
	reply := c.pending.Register(number)
	defer c.pending.Forget(number)
	request := coldGrantRequest{Number: number, Replica: sender.Replica, Presumed: sender.Presumed, StartedUnixMs: sender.StartedUnixMs, Ended: sender.Ended}
	if err := c.send(to, peer.KindColdGrantRequest, request); err != nil {
		c.onError(err)
		return false
	}
	select {
	case granted := <-reply:
		return granted
	case <-ctx.Done():
		return false
	}
}

// handleRequest returns the handler of peer.KindColdGrantRequest.
func (c *coldGranter) handleRequest(now func() time.Time) peer.Handler {
	return func(_ string, source *net.UDPAddr, body []byte) {
		var request coldGrantRequest
		if err := cbor.Unmarshal(body, &request); err != nil {
			c.onError(err)
			return
		}
		grant := c.replicas.GrantCold
		switch {
		case request.Ended:
			grant = c.replicas.GrantEnded
		case request.Presumed:
			grant = c.replicas.GrantPresumed
		}
		// A grant for another start of the replica would not count against its rate limit.
		granted := c.replicas.IsCurrentStart(request.Replica, request.StartedUnixMs) && grant(request.Replica, now())
		reply := coldGrantReply{Number: request.Number, Granted: granted}
		if err := c.send(source, peer.KindColdGrantReply, reply); err != nil {
			c.onError(err)
		}
	}
}

// handleReply handles peer.KindColdGrantReply.
func (c *coldGranter) handleReply(_ string, _ *net.UDPAddr, body []byte) {
	var reply coldGrantReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		c.onError(err)
		return
	}
	c.pending.Deliver(reply.Number, reply.Granted)
}
