package lease

import (
	"slices"
	"time"
)

// awayRetention is how long a node is remembered after its last session ended. It covers a node that
// is cut off from the store but continues to serve.
const awayRetention = 30 * time.Second

// awayNode is a node whose last session has ended.
type awayNode struct {
	since time.Time
	// member is the content of its last member row.
	member Member
}

// markAway records that the last session of a node has ended. The caller holds mu.
func (r *Roster) markAway(node string) {
	if node != Node(r.session.ID()) {
		r.away[node] = awayNode{since: r.watcher.now(), member: r.memberInfo[node]}
	}
	delete(r.sessionCounts, node)
	delete(r.memberInfo, node)
}

// expireAway forgets nodes that have been away for longer than awayRetention. The caller holds mu.
func (r *Roster) expireAway() {
	for node, awayInfo := range r.away {
		if r.watcher.now().Sub(awayInfo.since) > awayRetention {
			delete(r.away, node)
			r.invalidateNodes()
		}
	}
}

// Away returns the nodes whose last session ended within awayRetention, sorted.
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
