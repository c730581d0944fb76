package node

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// membersOnBehalf is the number of members that a node which knows none by the table asks to send its reports
// on. It is more than one because messages may be lost.
const membersOnBehalf = 2

// sendToUnlisted sends a message to the contacts that the table does not name. If this node knows no member
// of the fleet by the table, some members among them send it on.
func (g *Gateway) sendToUnlisted(message quarantineMessage) {
	others := g.nodes.others()
	onBehalf := 0
	if len(others) == 0 {
		onBehalf = membersOnBehalf
	}
	message.Forward = false
	for _, known := range slices.Backward(g.contacts.unlisted(others, clock.Now())) {
		message.OnBehalf = known.joined && onBehalf > 0
		if message.OnBehalf {
			onBehalf--
		}
		g.sendToAddress(lease.Node(known.session), known.address, peer.KindCrashReport, message)
	}
}

// passOn sends what a message of a node reports on to those that its sender does not reach: to all if that one
// asks for it, else to the contacts of this node that the table does not name.
func (g *Gateway) passOn(from string, message quarantineMessage) {
	message.Query = nil
	if message.PassedOn || message.empty() || g.hellos == nil || !g.roster.Joined() {
		return
	}
	if message.OnBehalf {
		message.OnBehalf = false
		g.spread(message)
		return
	}
	if slices.Contains(g.nodes.others(), lease.Node(from)) {
		message.PassedOn = true
		g.sendToUnlisted(message)
	}
}
