package replica

import "time"

// A node learns from the list of replicas that one has become cold. While a node receives no updates
// of the list, any replica may have become cold, and other nodes may use its full cold rate. So a
// node with an old list treats all replicas as cold.

// maxListAge is the age of the list beyond which the replicas on it are presumed cold. It equals the
// period over which the requests to a cold replica are limited. Rows are written about once a second,
// so even a current list is no more precise.
const maxListAge = time.Second

// SetListTime records that the list of replicas is known as of a time. Without any call, the list
// counts as current.
func (s *Set) SetListTime(at, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOld, awaited := s.listStale(now), s.listTime.Before(s.warmReportsDue)
	if s.listTime.IsZero() || at.Sub(s.listTime) > maxSoftwareListAge {
		s.listKnownSince = at
	}
	if at.After(s.listTime) {
		s.listTime = at
	}
	if awaited || wasOld && !s.listStale(now) {
		s.notifyChanged()
	}
}

// listStale reports whether the list is so old that replicas may have become cold since. The caller
// holds mu.
func (s *Set) listStale(now time.Time) bool {
	return !s.listTime.IsZero() && now.Sub(s.listTime) > maxListAge
}

// PresumesCold reports whether replicas of pools with a cold limit are presumed cold because the list
// is old.
func (s *Set) PresumesCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.coldLimits) > 0 && s.listStale(now)
}

// HasColdLimits reports whether any pool has a limit for cold replicas.
func (s *Set) HasColdLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.coldLimits) > 0
}

// GrantPresumed reports whether another node may send a request to a replica that it presumes cold
// because of the age of its list: this node has a current list which shows that the replica is warm,
// or it grants one send of its part of the rate.
func (s *Set) GrantPresumed(id string, now time.Time) bool {
	return s.confirmedWarm(id, now) || s.GrantCold(id, now)
}

// confirmedWarm reports whether this node knows that a listed replica may get requests without a limit. It
// does not if it knows no limit of the pool: it may have the list before the configuration.
func (s *Set) confirmedWarm(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.info.Leaving || s.evacuated[e.info.Zone] || s.coldLimits[e.info.Pool].Rate <= 0 {
		return false
	}
	return s.coldView(e, now).Left == 0
}
