// Package listcopy lets a node that needs all rows of a large list copy them from another node of its
// zone instead of reading them from the store. Otherwise each start would cost the store the whole list,
// and a start of all nodes nodes x rows.
//
// The copy has a revision, from which the node follows the store's feed as after a read of its own.
package listcopy

import (
	"math/rand/v2"
	"time"
)

const (
	// zoneReaders is the number of nodes of a zone that read the store without asking others first.
	zoneReaders = 2
	// retryDelay is the mean time between two attempts to copy.
	retryDelay = 100 * time.Millisecond
	// startPatience is how long a starting node tries to copy before it reads the store, and
	// rereadPatience the same for a node whose list no longer changes meanwhile. Both are extended by
	// up to as much again, at random, so that nodes that give up do not read at the same time.
	startPatience  = 4 * time.Second
	rereadPatience = 2 * time.Second
)

// Action is what a node does next to get the list.
type Action int

// Actions.
const (
	// ReadStore reads the list from the store.
	ReadStore Action = iota
	// AskPeer asks another node of the zone for a copy.
	AskPeer
	// Wait waits until other nodes are known.
	Wait
)

// View is what a node knows of its zone.
type View struct {
	// Unknown is set while the node does not know yet which others there are.
	Unknown bool
	// Small is set if the fleet is so small that the store can send the list to each node.
	Small bool
	// Joined is set once the node has received its own member row, and so all that were written
	// before it.
	Joined bool
	// Peers is the number of other nodes of the zone, Rank the number of those that come before this
	// node in an order on which all agree.
	Peers, Rank int
}

// Policy decides how a node gets the list, once for each time that it needs all of it. The zero value
// is ready for use. It is not safe for concurrent use.
type Policy struct {
	// giveUpAt is when the node reads the store; zero if it does not need the list.
	giveUpAt time.Time
}

// Next returns the next action. reread is set if the node has a list, which is out of date.
func (p *Policy) Next(view View, reread bool, now time.Time) Action {
	if p.giveUpAt.IsZero() {
		patience := startPatience
		if reread {
			patience = rereadPatience
		}
		p.giveUpAt = now.Add(patience + rand.N(patience))
	}
	switch {
	case !now.Before(p.giveUpAt):
		return ReadStore
	case view.Unknown:
		return Wait
	case view.Small, view.Joined && view.Rank < zoneReaders:
		return ReadStore
	case view.Peers == 0:
		return Wait
	default:
		return AskPeer
	}
}

// Done records that the node has the list.
func (p *Policy) Done() { p.giveUpAt = time.Time{} }
