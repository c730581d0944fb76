package replica

import (
	"cmp"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

const (
	// minZonePercent is the part, in percent, of the mean number of slots of a region's
	// nodes that those of each of its zones have at least: another zone costs 1 ms.
	minZonePercent = 100
	// minRegionPercent is the same for the regions of a fleet. Another region costs some
	// 40 ms for each request, so its slots are given only to nodes that would otherwise
	// have too few for their part of the items, which all nodes get alike; requests
	// reach the rest by reservation.
	minRegionPercent = 50
	percent          = 100
)

// grouping names the group that a place belongs to.
type grouping func(place.Place) place.Place

func byZone(at place.Place) place.Place   { return at }
func byRegion(at place.Place) place.Place { return place.Place{Region: at.Region} }
func anywhere(place.Place) place.Place    { return place.Place{} }

// group is what the nodes and replicas of one place have together.
type group struct {
	nodes, slots int
	replicas     []int
}

// groups sums up replicas by group.
func groups(replicas []ReplicaSlots, by grouping) map[place.Place]*group {
	all := map[place.Place]*group{}
	for i, one := range replicas {
		g := groupAt(all, by(one.Place))
		g.slots += one.Count
		g.replicas = append(g.replicas, i)
	}
	return all
}

func groupAt(all map[place.Place]*group, at place.Place) *group {
	g := all[at]
	if g == nil {
		g = &group{}
		all[at] = g
	}
	return g
}

// lendSlots returns how many slots of each replica go to nodes of other groups than its own.
// A group without nodes lends all. Groups whose nodes have more than the mean lendSlots what
// others lack to the least part of it, in percent, in proportion to what they have beyond the mean.
// It counts in integers, for all nodes must come to the same.
func lendSlots(nodes []place.Node, replicas []ReplicaSlots, by grouping, minPercent int) []int {
	lent := make([]int, len(replicas))
	all := groups(replicas, by)
	for _, node := range nodes {
		groupAt(all, by(node.Place)).nodes++
	}
	fleet := sumOf(all)
	missing, surplus := 0, 0
	for _, one := range all {
		missing += max(0, fleet.meanShare(one, minPercent)-one.slots)
		surplus += fleet.surplus(one)
		if one.nodes == 0 {
			missing -= one.slots
		}
	}
	for _, one := range all {
		count := 0
		switch {
		case one.nodes == 0:
			count = one.slots
		case missing > 0 && surplus > 0:
			count = min(missing*fleet.surplus(one)/surplus, fleet.surplus(one))
		}
		one.distribute(count, replicas, lent)
	}
	return lent
}

func sumOf(all map[place.Place]*group) group {
	sum := group{}
	for _, one := range all {
		sum.nodes += one.nodes
		sum.slots += one.slots
	}
	return sum
}

// meanShare is a meanShare, in percent, of the slots that a group's nodes have at the mean.
func (g group) meanShare(one *group, percentage int) int {
	if g.nodes == 0 {
		return 0
	}
	return g.slots * one.nodes * percentage / (g.nodes * percent)
}

// surplus is what a group with nodes has surplus the mean.
func (g group) surplus(one *group) int {
	if one.nodes == 0 {
		return 0
	}
	return max(0, one.slots-g.meanShare(one, percent))
}

// distribute takes slots from the group's replicas in proportion to what they have. What is
// left by rounding is taken in the order of hashes, so that a change of the count by
// one changes one replica.
func (g *group) distribute(count int, replicas []ReplicaSlots, taken []int) {
	if count == 0 || g.slots == 0 {
		return
	}
	left := count
	for _, i := range g.replicas {
		taken[i] = replicas[i].Count * count / g.slots
		left -= taken[i]
	}
	order := slices.Clone(g.replicas)
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(mix(replicas[a].Key), mix(replicas[b].Key)) })
	for _, i := range order {
		if left > 0 && taken[i] < replicas[i].Count {
			taken[i]++
			left--
		}
	}
}

// subtract returns replicas without some of their slots.
func subtract(replicas []ReplicaSlots, counts []int) []ReplicaSlots {
	left := slices.Clone(replicas)
	for i := range left {
		left[i].Count -= counts[i]
	}
	return left
}

// withCounts returns replicas with other numbers of slots.
func withCounts(replicas []ReplicaSlots, counts []int) []ReplicaSlots {
	others := slices.Clone(replicas)
	for i := range others {
		others[i].Count = counts[i]
	}
	return others
}
