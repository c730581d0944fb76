package streams

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// Ranking orders nodes as holders of origins. It is immutable.
type Ranking struct {
	// zones holds the nodes of each zone.
	zones [][]rankedNode
}

type rankedNode struct {
	id  string
	key uint64
}

// NewRanking returns a ranking of nodes.
func NewRanking(nodes []place.Node) *Ranking {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b place.Node) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	ranking := &Ranking{}
	for i, node := range ordered {
		if i == 0 || ordered[i-1].Zone != node.Zone {
			ranking.zones = append(ranking.zones, nil)
		}
		last := len(ranking.zones) - 1
		ranking.zones[last] = append(ranking.zones[last], rankedNode{node.ID, division.Key(node.ID)})
	}
	return ranking
}

// Holders returns the first count nodes for a stream. All nodes with the same list of nodes agree on
// them. The order within a zone is by rendezvous hashing (Thaler and Ravishankar, 1998). The best node of
// every zone comes before the second best of any, so that the loss of a zone takes one of the first.
func (r *Ranking) Holders(id ID, count int) []string {
	if len(r.zones) == 0 {
		return nil
	}
	hash := binary.LittleEndian.Uint64(id[:])
	rounds := (count + len(r.zones) - 1) / len(r.zones)
	best := make([][]scoredNode, len(r.zones))
	for i, zone := range r.zones {
		best[i] = highest(zone, hash, rounds)
	}
	holders := make([]string, 0, count)
	for round := range rounds {
		holders = append(holders, nodesOfRound(best, round)...)
	}
	return holders[:min(count, len(holders))]
}

type scoredNode struct {
	id    string
	score uint64
}

// compareScores orders nodes by descending score.
func compareScores(a, b scoredNode) int { return cmp.Compare(b.score, a.score) }

// highest returns the count nodes with the highest scores, in descending order.
func highest(nodes []rankedNode, hash uint64, count int) []scoredNode {
	best := make([]scoredNode, 0, count+1)
	for _, node := range nodes {
		scored := scoredNode{node.id, division.Mix(node.key ^ hash)}
		at, _ := slices.BinarySearchFunc(best, scored, compareScores)
		if at == count {
			continue
		}
		best = slices.Insert(best, at, scored)
		best = best[:min(count, len(best))]
	}
	return best
}

// nodesOfRound returns the node of each zone at a position, in descending order of their scores.
func nodesOfRound(zones [][]scoredNode, position int) []string {
	var round []scoredNode
	for _, zone := range zones {
		if position < len(zone) {
			round = append(round, zone[position])
		}
	}
	slices.SortFunc(round, compareScores)
	ids := make([]string, len(round))
	for i, node := range round {
		ids[i] = node.id
	}
	return ids
}
