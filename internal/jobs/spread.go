package jobs

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

// Items of a job are spread over all nodes, so that every node has some that
// can give way to its own online requests, and no node has many to lose.

// spread names the nodes that run the items of a job: each item goes to the node
// that has the fewest to run. Items that may run only once stay with the owner,
// for only an owner may mark them.
func (s *Service) spread(job *Job, submission *Submission) {
	if s.Nodes == nil || slices.ContainsFunc(submission.Items, func(item Item) bool { return item.Once }) {
		return
	}
	nodes := s.Nodes()
	if len(nodes) == 0 {
		return
	}
	slices.SortFunc(nodes, func(a, b string) int {
		if lease.Preferred([]string{a, b}, job.ID) == a {
			return -1
		}
		return 1
	})
	load := s.View.load()
	index := map[string]int{}
	for i := range job.Items {
		node := slices.MinFunc(nodes, func(a, b string) int { return load[a] - load[b] })
		load[node]++
		if _, ok := index[node]; !ok {
			index[node] = len(job.Nodes)
			job.Nodes = append(job.Nodes, node)
		}
		job.Items[i].Node = index[node]
	}
}

// load counts the unlisted items of each node.
func (v *View) load() map[string]int {
	load := map[string]int{}
	for _, entry := range v.Open() {
		listed := entry.Progress.listed(len(entry.Job.Items))
		for i := range entry.Job.Items {
			if !listed[i] {
				load[entry.runner(i)]++
			}
		}
	}
	return load
}

// listed tells of each item whether it is listed.
func (p *Progress) listed(items int) []bool {
	listed := make([]bool, items)
	for _, one := range p.Listed {
		listed[one.Item] = true
	}
	return listed
}

// runner returns the node that runs an item.
func (e *Entry) runner(item int) string {
	if len(e.Job.Nodes) == 0 {
		return lease.Node(e.Progress.Owner)
	}
	if node, ok := e.Progress.Moved[item]; ok {
		return node
	}
	return e.Job.Nodes[e.Job.Items[item].Node]
}

// runners returns the nodes that have unlisted items to run, each once.
func (e *Entry) runners() []string {
	var nodes []string
	listed := e.Progress.listed(len(e.Job.Items))
	for i := range e.Job.Items {
		if node := e.runner(i); !listed[i] && node != "" && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// own returns the unlisted items that a session is to run.
func (e *Entry) own(session string) []int {
	if len(e.Job.Nodes) == 0 && e.Progress.Owner != session {
		return nil
	}
	return e.itemsOf(lease.Node(session))
}

// itemsOf returns the unlisted items that a node is to run.
func (e *Entry) itemsOf(node string) []int {
	var items []int
	listed := e.Progress.listed(len(e.Job.Items))
	for i := range e.Job.Items {
		if !listed[i] && e.runner(i) == node {
			items = append(items, i)
		}
	}
	return items
}
