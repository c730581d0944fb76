package resource

import (
	"sync"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// round is one write's way to the nodes. It remembers which nodes were asked
// after the commit and did not answer.
//
// A node may be left out of the count only after that. Otherwise one that has
// just been started again could have read the store before the commit, serve
// the older revision, and be taken for stopped by this writer.
type round struct {
	revision uint64

	mu     sync.Mutex
	silent map[string]bool
}

func newRound(revision uint64) *round { return &round{revision: revision, silent: map[string]bool{}} }

func (r *round) failed(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[node] = true
}

func (r *round) asked(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[node]
}

// roundStatus counts the nodes that hold the revision of a write.
func (p *Propagator) roundStatus(round *round) v1.Status {
	return p.count(round.revision, round.asked)
}

// Status counts the nodes that hold a revision, from what is known here.
func (p *Propagator) Status(revision uint64) v1.Status {
	return p.count(revision, func(string) bool { return true })
}

// count decides about each node whether it holds a revision, must hold it, or
// is left out: nodes that have stopped as planned, and a node that has fenced
// itself. unanswered tells whether a node was asked in vain.
func (p *Propagator) count(revision uint64, unanswered func(node string) bool) v1.Status {
	status := v1.Status{Revision: revision, Expected: 1}
	if p.store.Revision() >= revision {
		status.InForce = 1
	}
	var silent []Node
	for _, node := range p.peers.Nodes() {
		switch {
		case p.holds(node.ID, revision):
			status.InForce++
			status.Expected++
		case node.Gone && unanswered(node.ID):
			continue
		default:
			status.Expected++
			status.Laggards = append(status.Laggards, node.ID)
			silent = append(silent, node)
		}
	}
	if fencedAlone(silent) && unanswered(silent[0].ID) {
		status.Expected--
		status.Laggards = nil
	}
	return status
}

// fencedAlone reports whether the only node out of step is one that has been
// silent for long enough to have fenced itself. Two silent nodes may hear each
// other behind a network split and go on serving, so they stay counted.
func fencedAlone(silent []Node) bool {
	return len(silent) == 1 && silent[0].DeadFor > SelfFenceAfter
}
