package lease

import (
	"slices"
	"time"
)

// awayKept is how long a node is remembered after its last session was ended: cuts of
// nodes from the store have been seen to last 12 s, and it may be serving all the while.
const awayKept = 30 * time.Second

// away is a node whose last session was ended.
type away struct {
	since time.Time
	// told is what its last member row told.
	told Member
}

// leave notes that a node has no session any more. The caller holds mu.
func (r *Roster) leave(node string) {
	if node != Node(r.session.ID()) {
		r.away[node] = away{since: r.watcher.now(), told: r.told[node]}
	}
	delete(r.nodes, node)
	delete(r.told, node)
}

// forgetAway drops the nodes that have been away for long. The caller holds mu.
func (r *Roster) forgetAway() {
	for node, known := range r.away {
		if r.watcher.now().Sub(known.since) > awayKept {
			delete(r.away, node)
			r.changed()
		}
	}
}

// Away returns the nodes whose sessions were ended a short time ago, in order.
func (r *Roster) Away() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetAway()
	names := make([]string, 0, len(r.away))
	for node := range r.away {
		names = append(names, node)
	}
	slices.Sort(names)
	return names
}
