package batch

import (
	"math"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

const (
	// DefaultQuietPeriod is how long a replica must be free of online work
	// before it is filled up again.
	DefaultQuietPeriod = 150 * time.Millisecond
	// DefaultReserveHeadroom is the share of a reserved replica's slots that is
	// kept free of batch work.
	DefaultReserveHeadroom = 0.85
	// shrinkFactor is the number of batch slots given up for each online
	// request. One slot is the least; more make the engine's steps shorter.
	shrinkFactor = 4
	// reservedIdleShare is the share of a reserved replica's slots that is filled
	// while it is quiet.
	reservedIdleShare = 0.75
	// spillTolerance is the number of online requests outside the reserve that a
	// replica serves beside its batch work. A request that spilled over has been
	// predicted to be better off there with the batch work and all; a pause for
	// it would empty the replica for a second. A pool with a headroom of 1 puts
	// the online tail first and pauses all the same.
	spillTolerance = 2
	// queueShare is the number of items kept waiting at a full replica, as a
	// share of its slots, so that a slot is filled in the step after it falls
	// free and not a round trip later.
	queueShare = 0.125
)

// Signal is what is known of a replica when its room for batch is decided.
type Signal struct {
	// Slots is the number of sequences the replica runs at a time.
	Slots int
	// Online is the number of online requests believed to be open there.
	Online int
	// Quiet is the time since online work was last seen there.
	Quiet time.Duration
	// Peak is the greatest recent number of online requests.
	Peak int
	// Reserved tells that online work goes to this replica first.
	Reserved bool
}

// Room is the decision about a replica.
type Room struct {
	// Target is the number of items to keep there.
	Target int
	// Keep is the number of items that may end by themselves; the newest beyond
	// it are given up at once. It is at least Target.
	Keep int
}

// keepAll is a Keep beyond any number of items.
const keepAll = math.MaxInt32

// NoRoom takes no more items and lets the running ones end.
var NoRoom = Room{Keep: keepAll}

// DecideRoom applies a pool's policy to a replica. It is a pure function.
func DecideRoom(policy v1.BatchPolicy, signal Signal) Room {
	idle := idleTarget(policy, signal)
	quiet := time.Duration(policy.QuietPeriod)
	if quiet == 0 {
		quiet = DefaultQuietPeriod
	}
	if policy.Yield == v1.YieldReserve && signal.Reserved {
		return reservedRoom(policy, signal, quiet)
	}
	if busy := signal.Online > 0 || signal.Quiet < quiet; !busy {
		return Room{Target: withQueue(idle), Keep: keepAll}
	}
	switch policy.Yield {
	case v1.YieldPriority:
		return Room{Target: max(0, idle-signal.Online), Keep: keepAll}
	case v1.YieldAbort:
		return Room{}
	case v1.YieldShrink:
		target := shrunk(idle, signal)
		return Room{Target: target, Keep: target}
	case v1.YieldReserve:
		if policy.Headroom < 1 && signal.Online <= spillTolerance {
			return Room{Target: max(0, idle-signal.Online), Keep: keepAll}
		}
		return Room{Keep: halfOf(signal.Slots)}
	default:
		return Room{Keep: keepAll}
	}
}

// halfOf is what may end by itself when online work arrives: the older half.
// The newer half has little progress to lose, and without it the steps are
// short at once.
func halfOf(slots int) int { return slots / 2 }

// withQueue adds the items that wait at the replica.
func withQueue(target int) int {
	return target + int(math.Ceil(queueShare*float64(target)))
}

// idleTarget is the room on a replica without online work.
func idleTarget(policy v1.BatchPolicy, signal Signal) int {
	keep := 0
	if policy.Yield != v1.YieldReserve {
		keep = int(math.Ceil(policy.Headroom * float64(signal.Slots)))
	}
	if policy.Estimator == v1.EstimatePeak {
		keep = max(keep, signal.Peak)
	}
	return max(0, signal.Slots-keep)
}

// reservedRoom is the room on a replica that online work goes to first: little
// beside online work, most of it when that has been quiet.
func reservedRoom(policy v1.BatchPolicy, signal Signal, quiet time.Duration) Room {
	headroom := policy.Headroom
	if headroom == 0 {
		headroom = DefaultReserveHeadroom
	}
	beside := int((1 - headroom) * float64(signal.Slots))
	if signal.Online == 0 && signal.Quiet >= quiet {
		return Room{Target: max(beside, int(reservedIdleShare*float64(signal.Slots))), Keep: keepAll}
	}
	target := max(0, min(beside, signal.Slots-signal.Online))
	return Room{Target: target, Keep: max(target, halfOf(signal.Slots))}
}

func shrunk(idle int, signal Signal) int {
	return max(0, min(idle, signal.Slots-shrinkFactor*max(1, signal.Online)))
}
