package replica

import (
	"time"
)

// Availability is a prediction of when a replica accepts a rejected request, based on recent
// refusals and load reports and on how long slots are held.
type Availability struct {
	// Wait is the least predicted time until a replica accepts a request; 0 if one may now.
	Wait time.Duration
	// Known reports whether Wait rests on recent reports: of all replicas that the request may
	// use, or of several if the pool is full.
	Known bool
}

const (
	// minKnownReplicas is the number of replicas with recent reports that suffices if the nodes
	// report that the pool is full. A request asks as many replicas before it pauses.
	minKnownReplicas = 3
	// fullUsage is the usage by online requests at and above which a pool is full.
	fullUsage = 1.0
)

// PredictAvailability predicts when a replica of a pool accepts a request again.
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

// availabilityAt predicts when one replica accepts a request. It reports whether the replica
// refused or reported its load within waitingDecayTime. The caller holds mu.
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
		// Its queue advances once a slot becomes free.
		waiting = max(waiting, 1)
	}
	return time.Duration(waiting * float64(candidate.SlotTime)), true
}
