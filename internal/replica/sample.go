package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

const (
	// sampleRandom is the number of random replicas of the node's own region in a sample, if there
	// are any. The others are those with slots of this node and those that it received data from
	// within freshFor.
	sampleRandom = 2
	freshFor     = 3 * time.Second
	// sampleOtherRegion is the number of random replicas of any region in a sample, for requests
	// whose region is full.
	sampleOtherRegion = 1
	// sampleElsewhere is the number of random replicas of other regions in a sample, for requests that
	// look for one there.
	sampleElsewhere = 2
	// staleProbeInterval is the time between two reservations that go to a replica which is not
	// Fresh although others are believed to have a free slot. A replica stays Fresh for freshFor,
	// so a node learns the state of three such replicas in that time and pays at most one
	// connectCost a second.
	staleProbeInterval = time.Second
)

// ProbeStale reports whether the next reservation in a pool should prefer replicas that are not
// Fresh, and starts the next interval if so. Without such probes a replica that receives no requests,
// as after an evacuation of its zone, would stay unused while others appear to have capacity: the
// load that other nodes cause at those is known late, or not at all if replicas do not report it.
func (s *Set) ProbeStale(pool string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimates := s.estimatesFor(pool)
	if now.Sub(estimates.staleProbedAt) < staleProbeInterval {
		return false
	}
	estimates.staleProbedAt = now
	return true
}

// nearby returns the entries of a region and of unknown regions; all if there are none or if the region
// is unknown.
func nearby(list []*entry, region string) []*entry {
	otherRegion := func(e *entry) bool { return e.isInOtherRegion(region) }
	if region == "" || !slices.ContainsFunc(list, otherRegion) {
		return list
	}
	near := make([]*entry, 0, len(list))
	for _, e := range list {
		if !otherRegion(e) {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return list
	}
	return near
}

// isInOtherRegion reports whether the replica is known to be in another region than the given one.
func (e *entry) isInOtherRegion(region string) bool {
	return e.info.Region != "" && e.info.Region != region
}

// elsewhere returns the entries of other regions than the given one; none if that is unknown.
func elsewhere(list []*entry, region string) []*entry {
	var far []*entry
	for _, e := range list {
		if region != "" && e.isInOtherRegion(region) {
			far = append(far, e)
		}
	}
	return far
}

// sample returns the active replicas with slots of this node or recent data, random ones nearby, and
// random ones of the whole list if not all are nearby. If the request looks for a replica elsewhere, it
// adds random ones there. This node has slots of a cold replica only if it is one of its senders. The
// caller holds mu.
func (s *Set) sample(active, list, near []*entry, criteria *Criteria, now time.Time) []*entry {
	chosen := make([]*entry, 0, len(active)+sampleRandom+sampleOtherRegion)
	for _, e := range active {
		if s.shareOf(e, now) > 0 || e.fresh(now) {
			chosen = append(chosen, e)
		}
	}
	chosen = addRandom(chosen, near, min(sampleRandom, len(list)-len(chosen)))
	if len(near) < len(list) {
		chosen = addRandom(chosen, list, sampleOtherRegion)
	}
	if criteria.OtherRegions {
		chosen = addRandom(chosen, elsewhere(list, criteria.Region), sampleElsewhere)
	}
	return chosen
}

// addRandom adds up to count random entries of a list that are not chosen yet.
func addRandom(chosen, list []*entry, count int) []*entry {
	if len(list) == 0 {
		return chosen
	}
	for range count {
		if random := list[rand.IntN(len(list))]; !slices.Contains(chosen, random) {
			chosen = append(chosen, random)
		}
	}
	return chosen
}

// affinityEntry returns the entry to which prompts with the same prefix are sent; nil if none.
func affinityEntry(list []*entry, affinity uint64, now time.Time) *entry {
	var preferred *entry
	var bestWeight uint64
	if affinity == 0 {
		return nil
	}
	for _, e := range list {
		if e.info.Leaving || e.graceExpired(now) || e.ejected(now) {
			continue
		}
		if weight := division.Mix(e.key ^ affinity); preferred == nil || weight > bestWeight {
			preferred, bestWeight = e, weight
		}
	}
	return preferred
}
