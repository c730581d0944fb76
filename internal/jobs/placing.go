package jobs

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Items run in the region whose node accepted their job, for their bodies are read and
// their results written from there, unless its slots are taken by items while others'
// are free.

// placing decides which nodes run items. Where all nodes tell the same region, or none,
// there is one region and nothing to decide but the node.
type placing struct {
	// nodes are those that may run the items, by region, in the order of preference.
	nodes map[string][]string
	// slots are those of the replicas that may run the items, by region.
	slots map[string]int
	// load counts the unlisted items of each node, busy those of each region.
	load, busy map[string]int
	// own is the region of the node that decides.
	own string
}

// placing returns what decides where items of a job go; nil if no node may run any.
func (s *Service) placing(job *Job, homes place.Regions, self string) *placing {
	p := &placing{nodes: map[string][]string{}, load: s.View.load(), busy: map[string]int{}, own: s.region(self)}
	for _, node := range preferred(s.Fleet.Nodes(), job.ID) {
		region := s.region(node)
		if homes.Allows(region) {
			p.nodes[region] = append(p.nodes[region], node)
			p.busy[region] += p.load[node]
		}
	}
	if len(p.nodes) == 0 {
		return nil
	}
	if len(p.nodes) > 1 {
		p.slots = s.regionSlots(job)
	}
	if !p.slotted() {
		// Without knowledge of replicas each node counts for as much.
		p.slots = map[string]int{}
		for region, nodes := range p.nodes {
			p.slots[region] = len(nodes)
		}
	}
	return p
}

// slotted reports whether any region is known to have slots.
func (p *placing) slotted() bool {
	for region := range p.nodes {
		if p.slots[region] > 0 {
			return true
		}
	}
	return false
}

// preferred sorts nodes by their preference for a piece of work.
func preferred(nodes []string, work string) []string {
	slices.SortFunc(nodes, func(a, b string) int {
		if lease.Preferred([]string{a, b}, work) == a {
			return -1
		}
		return 1
	})
	return nodes
}

// regionSlots returns the slots by region of the replicas that may run a job's items.
func (s *Service) regionSlots(job *Job) map[string]int {
	slots := map[string]int{}
	if s.Routes == nil || s.Routes() == nil || s.Slots == nil {
		return slots
	}
	target := s.Routes().ByName(job.Route)
	if target == nil {
		return slots
	}
	for _, share := range target.Shares {
		for region, count := range s.Slots(share.Pool) {
			slots[region] += count
		}
	}
	return slots
}

// next returns the node that runs the next item, the one with the fewest in the region
// chosen, and that region.
func (p *placing) next() (node, region string) {
	region = p.region()
	node = slices.MinFunc(p.nodes[region], func(a, b string) int { return p.load[a] - p.load[b] })
	p.load[node]++
	p.busy[region]++
	return node, region
}

// region chooses the region of the next item: the own one unless its slots are taken and
// another's are not, else the one with the fewest items for its slots.
func (p *placing) region() string {
	regions := slices.Sorted(maps.Keys(p.nodes))
	best := slices.MinFunc(regions, func(a, b string) int { return cmp.Compare(p.usage(a), p.usage(b)) })
	if _, here := p.nodes[p.own]; !here || p.slots[p.own] == 0 {
		return best
	}
	if p.usage(p.own) >= 1 && p.usage(best) < 1 {
		return best
	}
	return p.own
}

// usage is the number of items for each slot of a region.
func (p *placing) usage(region string) float64 {
	if p.slots[region] == 0 {
		return math.Inf(1)
	}
	return float64(p.busy[region]) / float64(p.slots[region])
}
