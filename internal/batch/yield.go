package batch

import (
	"math"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// Defaults of a pool's batch policy.
const (
	DefaultQuietPeriod = 150 * time.Millisecond
	DefaultHeadroom    = 0.0
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
}

// Room is the decision about a replica.
type Room struct {
	// Target is the number of items to keep running.
	Target int
	// Abort tells to give up the newest items beyond Target at once, instead of
	// waiting for them to end.
	Abort bool
}

// DecideRoom applies a pool's policy to a replica. It is a pure function.
func DecideRoom(policy v1.BatchPolicy, signal Signal) Room {
	idle := idleTarget(policy, signal)
	quiet := time.Duration(policy.QuietPeriod)
	if quiet == 0 {
		quiet = DefaultQuietPeriod
	}
	busy := signal.Online > 0 || signal.Quiet < quiet
	if !busy {
		return Room{Target: idle}
	}
	switch policy.Yield {
	case v1.YieldPriority:
		return Room{Target: max(0, idle-signal.Online)}
	case v1.YieldPause:
		return Room{Target: 0}
	case v1.YieldAbort:
		return Room{Target: 0, Abort: true}
	default:
		return Room{Target: shrunk(idle, signal), Abort: true}
	}
}

// idleTarget is the room on a replica without online work.
func idleTarget(policy v1.BatchPolicy, signal Signal) int {
	keep := int(math.Ceil(policy.Headroom * float64(signal.Slots)))
	if policy.Estimator == v1.EstimatePeak {
		keep = max(keep, signal.Peak)
	}
	return max(0, signal.Slots-keep)
}

// shrinkFactor is the number of batch slots given up for each online request.
// One slot is the least; more make the engine's steps shorter for the request.
const shrinkFactor = 4

func shrunk(idle int, signal Signal) int {
	return max(0, min(idle, signal.Slots-shrinkFactor*max(1, signal.Online)))
}
