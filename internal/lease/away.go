package lease

import (
	"slices"
	"time"
)

// awayRetention is how long a node is remembered after its last session was ended: cuts of
// nodes from the store have been seen to last 12 s, and it may be serving all the while.
const awayRetention = 30 * time.Second

// awayNode is a node whose last session was ended.
type awayNode struct {
	since time.Time
	// member is what its last member row member.
	member Member
}

// markAway notes that a node has no session any more. The caller holds mu.
func (r *Roster) markAway(node string) {
	if node != Node(r.session.ID()) {
		r.away[node] = awayNode{since: r.watcher.now(), member: r.memberInfo[node]}
	}
	delete(r.sessionCounts, node)
	delete(r.memberInfo, node)
}

// expireAway drops the nodes that have been away for long. The caller holds mu.
func (r *Roster) expireAway() {
	for node, awayInfo := range r.away {
		if r.watcher.now().Sub(awayInfo.since) > awayRetention {
			delete(r.away, node)
			r.invalidateNodes()
		}
	}
}

// Away returns the nodes whose sessions were ended a short time ago, in order.
func (r *Roster) Away() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireAway()
	nodes := make([]string, 0, len(r.away))
	for node := range r.away {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}
