package division

import (
	"math/bits"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

const (
	// maxWholeNodes is the number of nodes up to which a fleet is divided as a whole.
	maxWholeNodes = 320
	// maxShardNodes is the mean number of nodes of a shard above which a larger fleet has twice as
	// many shards.
	maxShardNodes = 128
)

// Shard is the part of a fleet among which slots are divided: nodes, and the replicas whose slots they
// share. Its size does not grow with the fleet, so neither does the cost of a division, and a node or
// replica that comes or goes changes the division of one shard. The zero Shard contains all replicas
// and no nodes.
type Shard struct {
	// Nodes are the nodes of the shard, in the order in which the fleet's were given.
	Nodes []place.Node
	// bits is the binary logarithm of the number of shards, index the number of this one.
	bits, index int
}

// ShardOf returns the shard of a node. Nodes and replicas are assigned to shards by the first bits of
// their hashes. If self is not among nodes, the shard is the whole fleet. The cost is proportional to
// the number of nodes.
func ShardOf(self string, nodes []place.Node) Shard {
	if indexOf(nodes, self) < 0 {
		return Shard{Nodes: nodes}
	}
	shard := Shard{bits: shardBits(len(nodes))}
	if shard.bits == 0 {
		shard.Nodes = nodes
		return shard
	}
	shard.index = shard.indexOf(Key(self))
	for _, node := range nodes {
		if shard.containsKey(Key(node.ID)) {
			shard.Nodes = append(shard.Nodes, node)
		}
	}
	return shard
}

// Contains reports whether a replica's slots are divided among the nodes of the shard.
func (s *Shard) Contains(replica Replica) bool { return s.containsKey(replica.Key) }

func (s *Shard) containsKey(key uint64) bool { return s.indexOf(key) == s.index }

// indexOf returns the number of the shard of a key.
func (s *Shard) indexOf(key uint64) int { return int(Mix(key) >> (64 - s.bits)) }

// shardBits returns the binary logarithm of the number of shards of a fleet.
func shardBits(nodes int) int {
	if nodes <= maxWholeNodes {
		return 0
	}
	return bits.Len(uint((nodes - 1) / maxShardNodes))
}
