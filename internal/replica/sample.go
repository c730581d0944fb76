package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sampleRandom is the number of random replicas that a choice looks at, beside
	// those that this node knows: where it has slots, and those that it has heard
	// from within freshFor. They are of its own region if there are any.
	sampleRandom = 2
	freshFor     = 3 * time.Second
	// sampleOtherRegion is the number of random replicas of other regions among them, for
	// requests that find their region full.
	sampleOtherRegion = 1
	// staleProbeInterval is the time between two questions for a slot that go to a replica which this
	// node has not heard from within freshFor, though others are believed to have one free. What
	// comes of a question is known for freshFor, so a node hears of three such replicas in that
	// time, and pays at most one connectCost a second for it.
	staleProbeInterval = time.Second
)

// ProbeStale reports whether the next question for a slot of a pool should go to a replica that
// this node has not heard from lately. Else one that nobody sends anything, as after an evacuation
// of its zone, is left aside for as long as others seem to have room: what they hold of other
// nodes' requests is known late, and not at all where replicas do not tell their load.
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

// nearby returns the entries of a region; all if there are none or it is not known.
func nearby(list []*entry, region string) []*entry {
	otherRegion := func(e *entry) bool { return e.info.Region != "" && e.info.Region != region }
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

// sample returns the replicas that this node knows, some random others nearby, and a
// few random ones anywhere if not all are nearby. Of cold ones it knows those that it
// feeds. The caller holds mu.
func (s *Set) sample(list, near []*entry, now time.Time) []*entry {
	chosen := make([]*entry, 0, len(list))
	for _, e := range list {
		if s.shareOf(e, now) > 0 || e.fresh(now) {
			chosen = append(chosen, e)
		}
	}
	chosen = addRandom(chosen, near, min(sampleRandom, len(list)-len(chosen)))
	if len(near) < len(list) {
		chosen = addRandom(chosen, list, sampleOtherRegion)
	}
	return chosen
}

// addRandom adds up to so many random entries of a list.
func addRandom(chosen, list []*entry, count int) []*entry {
	for range count {
		if random := list[rand.IntN(len(list))]; !slices.Contains(chosen, random) {
			chosen = append(chosen, random)
		}
	}
	return chosen
}

// affinityEntry returns the entry where prompts with the same prefix meet.
func affinityEntry(list []*entry, affinity uint64, now time.Time) *entry {
	var home *entry
	var best uint64
	if affinity == 0 {
		return nil
	}
	for _, e := range list {
		if e.info.Leaving || e.graceExpired(now) || e.ejected(now) {
			continue
		}
		if weight := mix(e.key ^ affinity); home == nil || weight > best {
			home, best = e, weight
		}
	}
	return home
}
