package replica

import (
	"time"
)

// Availability is when a request that found no replica to take it can expect one, by what this
// node knows: the refusals and the loads that replicas told of late, and how long slots
// are held.
type Availability struct {
	// Wait is the least predicted time until a replica takes a request; 0 if one may now.
	Wait time.Duration
	// Known tells that Wait rests on fresh words: of all replicas that the request may
	// use, or of some while the nodes together need all slots.
	Known bool
}

const (
	// minKnownReplicas is the number of replicas whose fresh words stand for those of a pool that
	// is full by what nodes told: as many as a request asks before it pauses.
	minKnownReplicas = 3
	// fullUsage is the part of a pool's slots that online requests need from which on it is
	// full.
	fullUsage = 1.0
)

// PredictAvailability predicts when a replica of a pool takes a request again.
func (s *Set) PredictAvailability(pool string, criteria *Criteria, now time.Time) Availability {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, known, unknown := Availability{}, 0, 0
	for _, e := range s.allowed(s.pool(pool), criteria) {
		if e.info.Leaving || e.graceExpired(now) {
			continue
		}
		candidate := s.candidate(e, now)
		if !serves(&candidate, criteria) {
			continue
		}
		wait, ok := s.availabilityAt(e, &candidate, criteria, now)
		if !ok {
			unknown++
			continue
		}
		if known == 0 || wait < result.Wait {
			result.Wait = wait
		}
		known++
	}
	result.Known = known > 0 && unknown == 0 || known >= minKnownReplicas && s.fleetUsage(pool, now) >= fullUsage
	return result
}

// availabilityAt predicts when one replica takes a request. It reports whether the replica said
// something of it a moment ago. The caller holds mu.
func (s *Set) availabilityAt(e *entry, candidate *Candidate, criteria *Criteria, now time.Time) (time.Duration, bool) {
	if candidate.Cold.Blocks(criteria.Batch) {
		return candidate.Cold.Wait, true
	}
	if candidate.Ejected {
		// It is tried as a last resort.
		return 0, false
	}
	refused := now.Sub(e.refusedAt) < waitingDecayTime
	if !refused && now.Sub(e.loadReportedAt) >= waitingDecayTime {
		return 0, false
	}
	waiting := candidate.Waiting
	if refused {
		// Its queue moves on once a slot is free.
		waiting = max(waiting, 1)
	}
	return time.Duration(waiting * float64(candidate.SlotTime)), true
}
