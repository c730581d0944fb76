package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

// NodeWaitCount counts the unlisted items of some jobs that wait at one node for the same reason.
type NodeWaitCount struct {
	// Node is the node that runs them; empty if none does.
	Node string
	// Reason is what they wait for. Known is set only for items of the reporting node.
	Reason WaitReason
	Known  bool
	Items  int
	// Oldest is the longest time since one of them made progress, if it is known.
	Oldest time.Duration
}

// WaitsByNode returns which nodes run the unlisted items of the included jobs, and what those of
// this node wait for. The reasons of other nodes' items are known only there.
func (r *Runner) WaitsByNode(session string, now time.Time, include func(job string) bool) []NodeWaitCount {
	type key struct {
		node   string
		reason WaitReason
		known  bool
	}
	counts := map[key]NodeWaitCount{}
	count := func(at key, waited time.Duration) {
		wait := counts[at]
		wait.Node, wait.Reason, wait.Known = at.node, at.reason, at.known
		wait.Items++
		wait.Oldest = max(wait.Oldest, waited)
		counts[at] = wait
	}
	self := lease.Node(session)
	for _, wait := range r.ItemWaits() {
		if include(wait.Job) {
			count(key{self, wait.Reason, true}, now.Sub(wait.LastProgress))
		}
	}
	for _, entry := range r.Service.View.Open() {
		if !include(entry.Job.ID) {
			continue
		}
		for _, item := range entry.unlisted() {
			if node := entry.nodeOf(item); node != self {
				count(key{node: node}, 0)
			}
		}
	}
	all := make([]NodeWaitCount, 0, len(counts))
	for _, wait := range counts {
		all = append(all, wait)
	}
	slices.SortFunc(all, func(a, b NodeWaitCount) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}
