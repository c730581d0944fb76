package routing

import (
	"sort"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

const (
	// reserveFill is the share of its sequence slots that a reserved replica is
	// meant to fill with online work at the peak. The rest is for the time it
	// takes to reserve another one.
	reserveFill = 0.6
	// reserveMargin is how much more than the recent peak the reserve holds.
	reserveMargin = 1.1
	// reserveLeast is the least reserve, as a share of all slots. Without it the
	// first burst after a quiet night would meet a single replica.
	reserveLeast = 0.1
)

// Reserve marks and returns the replicas that are kept for online work: enough of each
// model's replicas, the fastest first, to take the recent peak of online
// requests. Online work goes there first, so that the other replicas can be
// filled with batch work and need not give way at every burst.
//
// All nodes work the reserve out from the same reports and the same order, so
// they nearly always agree; where they do not, a request meets a replica with
// batch work, which gives way.
func Reserve(replicas []*Replica, peak map[string]int) map[string]bool {
	reserved := map[string]bool{}
	byModel := map[string][]*Replica{}
	for _, replica := range replicas {
		if replica.Model != "" && replica.State == engine.StateReady && takesOnline(replica, nil) {
			byModel[replica.Model] = append(byModel[replica.Model], replica)
		}
	}
	for model, members := range byModel {
		sort.Slice(members, func(i, j int) bool { return reservedBefore(members[i], members[j]) })
		slots := 0
		for _, member := range members {
			slots += member.Load.MaxSequences
		}
		wanted := max(float64(peak[model])*reserveMargin, reserveLeast*float64(slots))
		held := 0.0
		for i, replica := range members {
			if i > 0 && held >= wanted {
				break
			}
			replica.Reserved = true
			reserved[replica.ID] = true
			held += reserveFill * float64(replica.Load.MaxSequences)
		}
	}
	return reserved
}

// reservedBefore orders replicas: those that only take online work, then the
// fastest, then by hash, so that the reserve is spread over zones.
func reservedBefore(a, b *Replica) bool {
	if onlyA, onlyB := a.Role == engine.RoleOnline, b.Role == engine.RoleOnline; onlyA != onlyB {
		return onlyA
	}
	if a.Load.PrefillPerSec != b.Load.PrefillPerSec {
		return a.Load.PrefillPerSec > b.Load.PrefillPerSec
	}
	return mix(a.Key) > mix(b.Key)
}
