package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

// NodeWait counts the unlisted items of some jobs that wait for the same at one node.
type NodeWait struct {
	// Node is who runs them; empty if nobody does.
	Node string
	// For is what they wait for. Of other nodes than this one only the number is known.
	For   Wait
	Known bool
	Items int
	// Oldest is the longest time for which one of them has not come on, if it is known.
	Oldest time.Duration
}

// Whereabouts tells which nodes run the unlisted items of the jobs that concern the caller, and
// what those of this node wait for. Whoever looks for the reason asks the node that runs them.
func (r *Runner) Whereabouts(session string, now time.Time, concerns func(job string) bool) []NodeWait {
	type key struct {
		node  string
		what  Wait
		known bool
	}
	counts := map[key]NodeWait{}
	count := func(at key, waited time.Duration) {
		one := counts[at]
		one.Node, one.For, one.Known = at.node, at.what, at.known
		one.Items++
		one.Oldest = max(one.Oldest, waited)
		counts[at] = one
	}
	self := lease.Node(session)
	for _, one := range r.Waiting() {
		if concerns(one.Job) {
			count(key{self, one.For, true}, now.Sub(one.Since))
		}
	}
	for _, entry := range r.Service.View.Open() {
		if !concerns(entry.Job.ID) {
			continue
		}
		for _, item := range entry.unlisted() {
			if node := entry.runner(item); node != self {
				count(key{node: node}, 0)
			}
		}
	}
	all := make([]NodeWait, 0, len(counts))
	for _, one := range counts {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b NodeWait) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.For, b.For))
	})
	return all
}
