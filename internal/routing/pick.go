package routing

import (
	"math/rand/v2"
	"time"
)

// Policy names a way to pick; all but PolicyPredict are baselines to measure against.
type Policy string

// Policies.
const (
	// PolicyPredict picks the least predicted time to the first token among two
	// random replicas of the zone and the one that owns the prompt's prefix.
	PolicyPredict Policy = "predict"
	// PolicyRoundRobin takes the replicas in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastInFlight takes the replica with the fewest open requests of this node.
	PolicyLeastInFlight Policy = "least-in-flight"
	// PolicyAffinity always takes the owner of the prompt's prefix.
	PolicyAffinity Policy = "affinity"
)

// SpillMargin is what another zone must gain, in predicted time to the first
// token, before a request leaves the zone. It is above the noise of the
// prediction and above the way between zones.
const SpillMargin = 20 * time.Millisecond

// Router picks replicas. It is safe for concurrent use if Random is.
type Router struct {
	Policy Policy
	Index  PrefixIndex
	// Random returns a number in [0, n).
	Random func(n int) int
	// Turn returns a rising number, for PolicyRoundRobin.
	Turn func() uint64
}

// NewRouter returns a router with the process-wide random source.
func NewRouter(policy Policy, index PrefixIndex, turn func() uint64) *Router {
	return &Router{Policy: policy, Index: index, Random: rand.IntN, Turn: turn}
}

// Pick chooses a replica for the request.
func (r *Router) Pick(snapshot *Snapshot, request *Request) (Decision, error) {
	passed, err := candidates(snapshot, request)
	if err != nil {
		return Decision{}, err
	}
	switch r.Policy {
	case PolicyRoundRobin:
		return r.decide(passed[r.Turn()%uint64(len(passed))], request), nil
	case PolicyLeastInFlight:
		return r.decide(leastOpen(passed), request), nil
	case PolicyAffinity:
		return r.decide(owner(passed, request.Blocks), request), nil
	default:
		return r.pickPredicted(snapshot.Zone, passed, request), nil
	}
}

func (r *Router) decide(replica *Replica, request *Request) Decision {
	cached := 0
	if r.Index != nil {
		cached = r.Index.Cached(replica.ID, request.Blocks)
	}
	return Decision{
		Replica: replica, CachedBlocks: cached,
		Predicted: predict(replica, request, cachedWords(cached)),
	}
}

// pickPredicted prefers the reserve: another replica must gain SpillMargin over
// it, since it has to give batch work up for the request.
func (r *Router) pickPredicted(zone string, passed []*Replica, request *Request) Decision {
	reserved, others := splitReserved(passed)
	if len(reserved) == 0 || len(others) == 0 {
		return r.pickZone(zone, passed, request)
	}
	best := r.pickZone(zone, reserved, request)
	if best.Predicted < SpillMargin {
		return best
	}
	other := r.pickZone(zone, others, request)
	if other.Predicted+SpillMargin < best.Predicted {
		return other
	}
	return best
}

func splitReserved(replicas []*Replica) (reserved, others []*Replica) {
	for _, replica := range replicas {
		if replica.Reserved {
			reserved = append(reserved, replica)
		} else {
			others = append(others, replica)
		}
	}
	return reserved, others
}

func (r *Router) pickZone(zone string, passed []*Replica, request *Request) Decision {
	local, remote := splitByZone(zone, passed)
	if len(local) == 0 {
		return r.bestOf(remote, request)
	}
	best := r.bestOf(local, request)
	if len(remote) == 0 || best.Predicted < SpillMargin {
		return best
	}
	other := r.bestOf(remote, request)
	if other.Predicted+SpillMargin < best.Predicted {
		return other
	}
	return best
}

func splitByZone(zone string, replicas []*Replica) (local, remote []*Replica) {
	for _, replica := range replicas {
		if replica.Zone == zone {
			local = append(local, replica)
		} else {
			remote = append(remote, replica)
		}
	}
	return local, remote
}

// bestOf compares two random replicas and the owner of the prefix. The owner is
// the same for all nodes, so a conversation finds its cache from any of them;
// it loses as soon as its load costs more than its cache saves.
func (r *Router) bestOf(replicas []*Replica, request *Request) Decision {
	first := r.Random(len(replicas))
	best := r.decide(replicas[first], request)
	if len(replicas) > 1 {
		second := (first + 1 + r.Random(len(replicas)-1)) % len(replicas)
		best = better(best, r.decide(replicas[second], request))
	}
	if len(request.Blocks) > 0 {
		best = better(best, r.decide(owner(replicas, request.Blocks), request))
	}
	return best
}

func better(a, b Decision) Decision {
	if b.Predicted < a.Predicted {
		return b
	}
	return a
}

// ownerBlocks is the number of leading blocks that decide the owner. It is
// small, so that all turns of a conversation share their owner.
const ownerBlocks = 2

// owner returns the replica that the prompt's first blocks hash to (rendezvous
// hashing, Thaler and Ravishankar, 1998).
func owner(replicas []*Replica, blocks []uint64) *Replica {
	var key uint64
	if len(blocks) > 0 {
		key = blocks[min(len(blocks), ownerBlocks)-1]
	}
	best := replicas[0]
	var bestWeight uint64
	for _, replica := range replicas {
		weight := mix(replica.Key ^ key)
		if weight >= bestWeight {
			best, bestWeight = replica, weight
		}
	}
	return best
}

// mix spreads a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func leastOpen(replicas []*Replica) *Replica {
	best := replicas[0]
	for _, replica := range replicas[1:] {
		if replica.Usage.Open.Load() < best.Usage.Open.Load() {
			best = replica
		}
	}
	return best
}
