package replica

import "time"

// While the platform's store, the source of the list, is unavailable, replicas cannot renew their
// entries, so those missing after a long outage may still be running. They are used for a grace
// period, subject to this node's own evidence, and dropped if they are not listed again. Otherwise a
// node that was cut off would also divide the slots of replicas that no longer exist. Its division
// would differ from that of the other nodes: some slots would be allotted to no node, others to two.

const (
	// delistedGrace is the grace period: how long a replica that was delisted around an outage of
	// the store may still be used.
	delistedGrace = 2 * time.Second
	// outageWindow is the time after an outage within which a delisted replica gets the grace period.
	outageWindow = 200 * time.Millisecond
	// minLapsingOutage is the minimum length of an outage in which the entries of running replicas may
	// expire.
	minLapsingOutage = 2500 * time.Millisecond
)

// Remove records that a replica is no longer listed. It may still be running and answer requests.
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
	s.notifyChanged()
}

// RecordOutageEnd records that an outage of the store has ended. After a long outage, running
// replicas may be missing from the list, since they could not renew their entries; after a short
// one, missing replicas have left.
func (s *Set) RecordOutageEnd(length time.Duration, now time.Time) {
	if length < minLapsingOutage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnd = now
}

// graceExpired reports whether an entry that was delisted around an outage was not listed again within
// the grace period.
func (e *entry) graceExpired(now time.Time) bool {
	return !e.delistedAt.IsZero() && now.Sub(e.delistedAt) > delistedGrace
}

// dropExpired drops the delisted entries whose grace period is over. The caller holds mu.
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
		s.notifyChanged()
	}
}
