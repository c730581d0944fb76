package division

import (
	"cmp"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

const (
	// minZonePercent is the least share of slots per node of each zone, in percent of the mean of
	// its region. Crossing zones costs only 1 ms.
	minZonePercent = 100
	// minRegionPercent is the same for regions, in percent of the mean of the fleet. Crossing
	// regions costs some 40 ms per request, so slots of another region go only to nodes that would
	// otherwise have too few for their items, which are spread evenly over all nodes. Online
	// requests reach the other slots by reservation.
	minRegionPercent = 50
	// percent is the divisor of percentages.
	percent = 100
)

// grouping returns the place that stands for the group of a place: its zone, its region or all places.
type grouping func(place.Place) place.Place

func byZone(at place.Place) place.Place   { return at }
func byRegion(at place.Place) place.Place { return place.Place{Region: at.Region} }
func anywhere(place.Place) place.Place    { return place.Place{} }

// group holds the numbers of nodes and slots of a group of places, and the indexes of its replicas.
type group struct {
	nodes, slots int
	replicas     []int
}

// groups returns the groups that replicas belong to, without counting their nodes.
func groups(replicas []Replica, by grouping) map[place.Place]*group {
	all := map[place.Place]*group{}
	for i, r := range replicas {
		g := groupAt(all, by(r.Place))
		g.slots += r.Count
		g.replicas = append(g.replicas, i)
	}
	return all
}

// groupAt returns the group at a place and adds it if it is missing.
func groupAt(all map[place.Place]*group, at place.Place) *group {
	g := all[at]
	if g == nil {
		g = &group{}
		all[at] = g
	}
	return g
}

// lendSlots returns how many slots of each replica go to nodes of other groups. A group without nodes
// lends all of its slots. Groups with more slots per node than the mean lend, in proportion to their
// surplus, what other groups lack to have minPercent of the mean. Only integers are used, because all
// nodes must compute the same result.
func lendSlots(nodes []place.Node, replicas []Replica, by grouping, minPercent int) []int {
	lent := make([]int, len(replicas))
	all := groups(replicas, by)
	for _, node := range nodes {
		groupAt(all, by(node.Place)).nodes++
	}
	sum := sumOf(all)
	missing, surplus := 0, 0
	for _, g := range all {
		missing += max(0, sum.meanShare(g, minPercent)-g.slots)
		surplus += sum.surplus(g)
		if g.nodes == 0 {
			missing -= g.slots
		}
	}
	for _, g := range all {
		count := 0
		switch {
		case g.nodes == 0:
			count = g.slots
		case missing > 0 && surplus > 0:
			count = min(missing*sum.surplus(g)/surplus, sum.surplus(g))
		}
		g.distribute(count, replicas, lent)
	}
	return lent
}

func sumOf(all map[place.Place]*group) group {
	sum := group{}
	for _, g := range all {
		sum.nodes += g.nodes
		sum.slots += g.slots
	}
	return sum
}

// meanShare returns the given percentage of the slots that the nodes of part would have if all nodes
// of g had equally many.
func (g group) meanShare(part *group, percentage int) int {
	if g.nodes == 0 {
		return 0
	}
	return g.slots * part.nodes * percentage / (g.nodes * percent)
}

// surplus returns the number of slots of part beyond what its nodes would have if all nodes of g had
// equally many; 0 if part has no nodes.
func (g group) surplus(part *group) int {
	if part.nodes == 0 {
		return 0
	}
	return max(0, part.slots-g.meanShare(part, percent))
}

// distribute sets, in lent, how many of count slots each of the group's replicas lends, in proportion
// to its slots. The remainder of rounding is distributed in the order of hashes, so that a change of
// count by one changes one replica if all have equally many slots.
func (g *group) distribute(count int, replicas []Replica, lent []int) {
	if count == 0 || g.slots == 0 {
		return
	}
	left := count
	for _, i := range g.replicas {
		lent[i] = replicas[i].Count * count / g.slots
		left -= lent[i]
	}
	order := slices.Clone(g.replicas)
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(Mix(replicas[a].Key), Mix(replicas[b].Key)) })
	for _, i := range order {
		if left > 0 && lent[i] < replicas[i].Count {
			lent[i]++
			left--
		}
	}
}

// subtract returns replicas with counts subtracted from their slots.
func subtract(replicas []Replica, counts []int) []Replica {
	left := slices.Clone(replicas)
	for i := range left {
		left[i].Count -= counts[i]
	}
	return left
}

// withCounts returns replicas with their numbers of slots replaced.
func withCounts(replicas []Replica, counts []int) []Replica {
	others := slices.Clone(replicas)
	for i := range others {
		others[i].Count = counts[i]
	}
	return others
}
