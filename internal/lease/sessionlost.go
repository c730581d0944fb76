package lease

import (
	"slices"
	"time"
)

// sessionLostRetention is how long a node is remembered after its last session ended. It covers a
// node that is cut off from the store but continues to serve; such cuts have lasted 12 s.
const sessionLostRetention = 30 * time.Second

// lostNode is a node whose last session has ended.
type lostNode struct {
	since time.Time
	// member is the content of its last member row.
	member Member
}

// markSessionLost records that the last session of a node has ended. The caller holds mu.
func (r *Roster) markSessionLost(node string) {
	if node != Node(r.session.ID()) {
		r.sessionLost[node] = lostNode{since: r.watcher.now(), member: r.memberInfo[node]}
	}
	delete(r.sessionCounts, node)
	delete(r.memberInfo, node)
}

// expireSessionLost forgets nodes whose last session ended more than sessionLostRetention ago. The
// caller holds mu.
func (r *Roster) expireSessionLost() {
	for node, lost := range r.sessionLost {
		if r.watcher.now().Sub(lost.since) > sessionLostRetention {
			delete(r.sessionLost, node)
			r.invalidateNodes()
		}
	}
}

// SessionLost returns the nodes whose last session ended within sessionLostRetention, sorted.
func (r *Roster) SessionLost() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireSessionLost()
	nodes := make([]string, 0, len(r.sessionLost))
	for node := range r.sessionLost {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}
