package replica

import "time"

// While the source of the list is away, replicas cannot renew their entries there: those that are
// missing after a long outage may be well. They are used for a while yet, on own evidence, and
// dropped if they are not listed again. Else a node that was cut off would divide the slots of
// replicas which are gone for good, and come to another division than all others: of the slots
// that are there some would be no node's, and others two nodes'.

const (
	// delistedGrace is how long a replica that vanished from the list around an
	// outage of the platform's store may still be used, on own evidence.
	delistedGrace = 2 * time.Second
	// outageWindow is how long after an outage a vanished replica is kept.
	outageWindow = 200 * time.Millisecond
	// minLapsingOutage is the length of an outage from which on entries lapse.
	minLapsingOutage = 2500 * time.Millisecond
)

// Remove takes in that a replica is listed no more. That is no sign that it ended: it may
// serve on for a while.
func (s *Set) Remove(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return
	}
	if e.info.Leaving || now.Sub(s.outageEnd) > outageWindow {
		s.drop(e)
	} else {
		e.delistedAt, s.pendingDelisted = now, true
	}
	s.invalidateIndex()
}

// OutageEnded notes that the list's source has come back after an outage. After a
// long one, entries may be missing though their replicas are well, for these
// could not renew them; after a short one, who is missing has left.
func (s *Set) OutageEnded(length time.Duration, now time.Time) {
	if length < minLapsingOutage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnd = now
}

// graceExpired reports whether an entry that left the list around an outage has
// been used without a new listing for long enough.
func (e *entry) graceExpired(now time.Time) bool {
	return !e.delistedAt.IsZero() && now.Sub(e.delistedAt) > delistedGrace
}

// dropExpired drops the entries that are in doubt no more, for they were not listed again in time.
// The caller holds mu.
func (s *Set) dropExpired(now time.Time) {
	if !s.pendingDelisted {
		return
	}
	s.pendingDelisted = false
	dropped := false
	for _, e := range s.entries {
		switch {
		case e.graceExpired(now):
			s.drop(e)
			dropped = true
		case !e.delistedAt.IsZero():
			s.pendingDelisted = true
		}
	}
	if dropped {
		s.invalidateIndex()
	}
}
