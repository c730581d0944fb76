package replica

import "time"

// A node learns from the list of replicas that one has turned cold. While it hears
// nothing of the list, any replica may have, and other nodes may send it all that it
// bears: so a node whose list is old keeps to what it may send to cold replicas.

// maxListAge is how old the list may be before the replicas on it are presumed cold: the
// second in which what a cold replica gets is counted. Rows are written about each second,
// so a current list tells no sooner.
const maxListAge = time.Second

// SetListTime takes in that the list of replicas is known as it was at a time. A set that is
// never told takes its list to be current.
func (s *Set) SetListTime(at, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOld := s.listStale(now)
	if at.After(s.listTime) {
		s.listTime = at
	}
	if wasOld && !s.listStale(now) {
		s.notifyChanged()
	}
}

// listStale reports whether the list is so old that replicas may have turned cold since. The
// caller holds mu.
func (s *Set) listStale(now time.Time) bool {
	return !s.listTime.IsZero() && now.Sub(s.listTime) > maxListAge
}

// presumedCold reports whether an entry, which is not known to be cold, is taken as cold
// because the list is old. The caller holds mu.
func (s *Set) presumedCold(e *entry, now time.Time) bool {
	return !now.Before(e.cold.until) && s.listStale(now)
}

// PresumesCold reports whether replicas of pools with a limit are taken as cold because
// the list is old.
func (s *Set) PresumesCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.coldLimits) > 0 && s.listStale(now)
}

// HasColdLimits reports whether there is a pool whose replicas bear less while they are cold.
func (s *Set) HasColdLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.coldLimits) > 0
}

// GrantPresumed reports whether another node, which knows only by the age of its list that
// a replica may be cold, may send it a request: this one's list is current and tells that it
// is warm, or there is a place in this node's part of its rate.
func (s *Set) GrantPresumed(id string, now time.Time) bool {
	return s.confirmedWarm(id, now) || s.GrantCold(id, now)
}

// confirmedWarm reports whether this node would send to a listed replica without a bound.
func (s *Set) confirmedWarm(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.info.Leaving || s.evacuated[e.info.Zone] {
		return false
	}
	return s.coldView(e, now).Left == 0
}
