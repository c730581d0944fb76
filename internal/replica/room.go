package replica

import (
	"time"
)

// Room is when a request that found no replica to take it can expect one, by what this
// node knows: the refusals and the loads that replicas told of late, and how long slots
// are held.
type Room struct {
	// Wait is the least predicted time until a replica takes a request; 0 if one may now.
	Wait time.Duration
	// Known tells that Wait rests on fresh words: of all replicas that the request may
	// use, or of some while the nodes together need all slots.
	Known bool
}

const (
	// roomKnown is the number of replicas whose fresh words stand for those of a pool that
	// is full by what nodes told: as many as a request asks before it pauses.
	roomKnown = 3
	// fullPool is the part of a pool's slots that online requests need from which on it is
	// full.
	fullPool = 1.0
)

// Room predicts when a replica of a pool takes a request again.
func (s *Set) Room(pool string, demand *Demand, now time.Time) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	room, known, unknown := Room{}, 0, 0
	for _, one := range s.allowed(s.pool(pool), demand) {
		if one.info.Leaving || one.forgotten(now) {
			continue
		}
		candidate := s.candidate(one, now)
		if !serves(&candidate, demand) {
			continue
		}
		wait, told := s.roomAt(one, &candidate, demand, now)
		if !told {
			unknown++
			continue
		}
		if known == 0 || wait < room.Wait {
			room.Wait = wait
		}
		known++
	}
	room.Known = known > 0 && unknown == 0 || known >= roomKnown && s.fleetUsage(pool, now) >= fullPool
	return room
}

// roomAt predicts when one replica takes a request. It reports whether the replica said
// something of it a moment ago. The caller holds mu.
func (s *Set) roomAt(e *entry, candidate *Candidate, demand *Demand, now time.Time) (time.Duration, bool) {
	if candidate.Cold.Holds(demand.Batch) {
		return candidate.Cold.Wait, true
	}
	if candidate.Ejected {
		// It is tried as a last resort.
		return 0, false
	}
	refused := now.Sub(e.refusedAt) < waitingFade
	if !refused && now.Sub(e.waitingAt) >= waitingFade {
		return 0, false
	}
	waiting := candidate.Waiting
	if refused {
		// Its queue moves on once a slot is free.
		waiting = max(waiting, 1)
	}
	return time.Duration(waiting * float64(candidate.SlotTime)), true
}
