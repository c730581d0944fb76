package jobs

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

// Items of a job are spread over all nodes, so that every node has some that its own online
// requests can preempt, and the loss of a node affects few of them.

// spread assigns the items of a job to nodes: each goes to the node with the fewest items in the
// chosen region. At-most-once items stay with the owner, because only an owner may mark them as
// started.
func (s *Service) spread(job *Job, submission *Submission, self string) {
	if s.Fleet == nil || slices.ContainsFunc(submission.Items, func(item Item) bool { return item.AtMostOnce }) {
		return
	}
	p := s.newPlacement(job, s.allowedRegions(job), self)
	if p == nil {
		return
	}
	index := map[string]int{}
	for i := range job.Items {
		node, region := p.next()
		if _, ok := index[node]; !ok {
			index[node] = len(job.Nodes)
			job.Nodes = append(job.Nodes, node)
			job.Regions = append(job.Regions, region)
		}
		job.Items[i].Node = index[node]
	}
	job.Regions = compactRegions(job.Regions)
}

// compactRegions returns the regions of nodes as a job row stores them.
func compactRegions(regions []string) []string {
	if len(slices.Compact(slices.Clone(regions))) > 1 {
		return regions
	}
	if regions[0] == "" {
		return nil
	}
	return regions[:1]
}

// load counts the unlisted items of each node.
func (v *View) load() map[string]int {
	load := map[string]int{}
	for _, entry := range v.Open() {
		listed := entry.Progress.listedItems(len(entry.Job.Items))
		for i := range entry.Job.Items {
			if !listed[i] {
				load[entry.nodeOf(i)]++
			}
		}
	}
	return load
}

// listedItems reports for each item whether it is listed.
func (p *Progress) listedItems(items int) []bool {
	listed := make([]bool, items)
	for _, result := range p.Listed {
		listed[result.Item] = true
	}
	return listed
}

// nodeOf returns the node that runs an item.
func (e *Entry) nodeOf(item int) string {
	if len(e.Job.Nodes) == 0 {
		return lease.Node(e.Progress.Owner)
	}
	if node, ok := e.Progress.Reassigned[item]; ok {
		return node
	}
	return e.Job.Nodes[e.Job.Items[item].Node]
}

// activeNodes returns the nodes that have unlisted items to run, each once.
func (e *Entry) activeNodes() []string {
	var nodes []string
	listed := e.Progress.listedItems(len(e.Job.Items))
	for i := range e.Job.Items {
		if node := e.nodeOf(i); !listed[i] && node != "" && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// regionOf returns the region where an item was to run when its job was accepted; empty if it is
// unknown.
func (e *Entry) regionOf(item int) string {
	switch len(e.Job.Regions) {
	case 0:
		return ""
	case 1:
		return e.Job.Regions[0]
	default:
		return e.Job.Regions[e.Job.Items[item].Node]
	}
}

// ownItems returns the unlisted items that a session has to run.
func (e *Entry) ownItems(session string) []int {
	if len(e.Job.Nodes) == 0 && e.Progress.Owner != session {
		return nil
	}
	return e.itemsOf(lease.Node(session))
}

// unlisted returns the items that are not listed.
func (e *Entry) unlisted() []int {
	var items []int
	for i, listed := range e.Progress.listedItems(len(e.Job.Items)) {
		if !listed {
			items = append(items, i)
		}
	}
	return items
}

// itemsOf returns the unlisted items that a node has to run.
func (e *Entry) itemsOf(node string) []int {
	var items []int
	listed := e.Progress.listedItems(len(e.Job.Items))
	for i := range e.Job.Items {
		if !listed[i] && e.nodeOf(i) == node {
			items = append(items, i)
		}
	}
	return items
}
