package jobs

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Items run in the region whose node accepted their job, because their bodies are read and their
// results written there, unless items take all its slots and another region has free ones.

// placement chooses the nodes that run items. If all nodes are in one region, or their regions are
// unknown, only the node has to be chosen.
type placement struct {
	// nodes are the nodes that may run the items, by region, in the order of preference.
	nodes map[string][]string
	// slots counts the slots of the replicas that may run the items, by region.
	slots map[string]int
	// load counts the unlisted items of each node, regionLoad those of each region.
	load, regionLoad map[string]int
	// ownRegion is the region of the node that decides.
	ownRegion string
}

// newPlacement returns the placement of a job's items; nil if no node may run any.
func (s *Service) newPlacement(job *Job, regions place.Regions, self string) *placement {
	p := &placement{nodes: map[string][]string{}, load: s.View.load(), regionLoad: map[string]int{}, ownRegion: s.region(self)}
	for _, node := range sortByPreference(s.Fleet.Nodes(), job.ID) {
		region := s.region(node)
		if regions.Allows(region) {
			p.nodes[region] = append(p.nodes[region], node)
			p.regionLoad[region] += p.load[node]
		}
	}
	if len(p.nodes) == 0 {
		return nil
	}
	if len(p.nodes) > 1 {
		p.slots = s.regionSlots(job)
	}
	if !p.hasSlots() {
		// Without knowledge of replicas, all nodes count the same.
		p.slots = map[string]int{}
		for region, nodes := range p.nodes {
			p.slots[region] = len(nodes)
		}
	}
	return p
}

// hasSlots reports whether any region is known to have slots.
func (p *placement) hasSlots() bool {
	for region := range p.nodes {
		if p.slots[region] > 0 {
			return true
		}
	}
	return false
}

// sortByPreference sorts nodes in place by their preference for a piece of work.
func sortByPreference(nodes []string, work string) []string {
	slices.SortFunc(nodes, func(a, b string) int {
		if lease.Preferred([]string{a, b}, work) == a {
			return -1
		}
		return 1
	})
	return nodes
}

// regionSlots returns the slots of the replicas that may run a job's items, by region.
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

// next returns the node for the next item, the one with the fewest items in the chosen region, and
// that region.
func (p *placement) next() (node, region string) {
	region = p.chooseRegion()
	node = slices.MinFunc(p.nodes[region], func(a, b string) int { return p.load[a] - p.load[b] })
	p.load[node]++
	p.regionLoad[region]++
	return node, region
}

// chooseRegion returns the region of the next item: the own region unless its slots are taken and
// another region has free ones, else the region with the fewest items per slot.
func (p *placement) chooseRegion() string {
	regions := slices.Sorted(maps.Keys(p.nodes))
	best := slices.MinFunc(regions, func(a, b string) int { return cmp.Compare(p.slotLoad(a), p.slotLoad(b)) })
	if _, here := p.nodes[p.ownRegion]; !here || p.slots[p.ownRegion] == 0 {
		return best
	}
	if p.slotLoad(p.ownRegion) >= 1 && p.slotLoad(best) < 1 {
		return best
	}
	return p.ownRegion
}

// slotLoad returns the number of items per slot of a region.
func (p *placement) slotLoad(region string) float64 {
	if p.slots[region] == 0 {
		return math.Inf(1)
	}
	return float64(p.regionLoad[region]) / float64(p.slots[region])
}
