package lease

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// The store limits the writes of a partition, and every node renews its row once per second. So the
// session rows are spread over partitions whose number follows the number of nodes. Nodes may disagree
// about that number for a while, since each moves its own row: the member row of a node tells among how
// many partitions its session row was placed.

const (
	// basePartitions is the least number of partitions, and that of sessions without a member row.
	basePartitions = 2
	// maxPartitionSessions is the number of sessions per partition above which there are twice as
	// many partitions. The platform's store takes 300 writes per second of a partition.
	maxPartitionSessions = 150
	// minPartitionSessions is the number below which there are half as many. It is less than half of
	// the maximum, so that a fleet that changes a little moves no rows.
	minPartitionSessions = 50
	// renewalShare is the part of the store's writes, as a divisor, that renewals are assumed to make
	// while the number of nodes is not known: at the start of a whole fleet.
	renewalShare = 5
	// maxPartitions bounds what a member row may tell.
	maxPartitions = 1 << 12
)

// wantedPartitions returns the number of partitions for a number of sessions that are placed among
// current ones.
func wantedPartitions(current, sessions int) int {
	for sessions > maxPartitionSessions*current && current < maxPartitions {
		current *= 2
	}
	for sessions < minPartitionSessions*current && current > basePartitions {
		current /= 2
	}
	return current
}

// initialPartitions returns the number of partitions among which a new session is placed, given the
// number of nodes that are known and that of writes per second that the store takes. A store that takes
// many writes serves a large fleet, whose nodes may all start at the same time and know no others yet.
func initialPartitions(nodes, storeWrites int) int {
	return wantedPartitions(basePartitions, max(nodes, storeWrites/renewalShare))
}

// sessionKey returns the key of the row of a session without a member row.
func sessionKey(id string) table.Key { return sessionKeyAmong(basePartitions, id) }

// sessionKeyAmong returns the key of a session's row that is placed among a number of partitions. The
// sort key starts with a hash of the node, so that consecutive rows belong to unrelated nodes.
func sessionKeyAmong(partitions int, id string) table.Key {
	hash := ringHash(id)
	return table.Key{Partition: partitionName(partitionOf(hash, partitions), partitions), Sort: fmt.Sprintf("%0*x", ringHashDigits, hash) + id}
}

func ringHash(id string) uint32 { return uint32(xxhash.Sum64String(Node(id))) }

// partitionOf maps a hash to one of a number of partitions. The order of the partitions, and of the
// keys within each, is the order of the ring.
func partitionOf(hash uint32, partitions int) int {
	return int(uint64(hash) * uint64(partitions) >> 32)
}

// partitionName returns the name of one of a number of partitions. The part after the slash differs
// from that of all other tables, because the platform counts writes by it alone.
func partitionName(index, partitions int) string {
	if partitions == basePartitions {
		return fmt.Sprintf("sessions/session-%d", index)
	}
	return fmt.Sprintf("sessions/session-%d-of-%d", index, partitions)
}

// listSessions reads all rows of sessions without member rows.
func listSessions(ctx context.Context, service table.Service) ([]table.Row, error) {
	var all []table.Row
	for index := range basePartitions {
		rows, err := table.ListAll(ctx, service, partitionName(index, basePartitions))
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}
