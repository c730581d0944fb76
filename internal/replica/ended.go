package replica

import "time"

// If no replica of a pool accepts connections, either this node is cut off or the pool has ended. A
// node cannot tell which by itself: it receives no data in both cases. If the pool has ended, its
// replicas are cold once they start again, and the list shows that only after startListedDelay. All
// requests that wait at all nodes would reach them until then. So the replicas count as cold until one
// answers. Nodes that are still in contact with a replica grant sends without a limit, so a node that
// alone is cut off waits no longer than a message takes.

// endedMax is how long after its last refusal a replica that stays on the list counts as cold for the
// end of its pool. It exceeds the three heartbeats after which the row of a replica that has ended is
// gone, so one that is still listed runs, and only connections to it failed. Without a bound, a node that
// gets no grant, such as one that sends only items, would not use the replica again. It equals the
// longest ejection, after which the node would try again in any case.
const endedMax = ejectionMax

// recordRefusal records that a replica of a pool with a limit for cold replicas accepted no connection.
// It marks the replicas that accept none if none of the pool does. The caller holds mu.
func (s *Set) recordRefusal(e *entry, now time.Time) {
	e.cold.unreachable, e.cold.contactSince = true, time.Time{}
	if e.maybeEnded(now) {
		e.cold.endedSince, e.cold.endedUntil = now, time.Time{}
		return
	}
	list := s.pool(e.info.Pool)
	for _, other := range list {
		if s.acceptsRequests(other, now) {
			return
		}
	}
	if s.endedPools == nil {
		s.endedPools = map[string]bool{}
	}
	s.endedPools[e.info.Pool] = true
	for _, other := range list {
		if other.cold.unreachable {
			other.markEnded(now)
		}
	}
}

// acceptsRequests reports whether an entry accepted the last connection, if any, and may get requests
// without the limit of cold replicas. The caller holds mu.
func (s *Set) acceptsRequests(e *entry, now time.Time) bool {
	usable := !e.info.Leaving && !e.graceExpired(now) && !s.evacuated[e.info.Zone]
	return usable && !e.cold.unreachable && !s.knownCold(e, now)
}

// markEnded marks an entry whose pool has ended. The mark replaces one for its own refusals, which ends
// with its ejection. The caller holds mu.
func (e *entry) markEnded(now time.Time) {
	e.cold.ended, e.cold.endedSince, e.cold.endedUntil = true, now, time.Time{}
	if e.cold.reason == ColdUnreachable || e.cold.reason == ColdUnconfirmed {
		e.cold.until = now
	}
}

// recordContact records that data of a replica arrived. A replica of an ended pool counts as cold until
// the list shows whether it has restarted, and the others of its pool until it is warm. The caller
// holds mu.
func (s *Set) recordContact(e *entry, now time.Time) {
	if e.superseded {
		return
	}
	if e.cold.contactSince.IsZero() || now.Sub(e.lastReceived) >= recentContact {
		e.own().cold.contactSince = now
	}
	e.cold.unreachable, e.lastReceived = false, now
	if e.cold.ended && e.cold.endedUntil.IsZero() {
		e.cold.endedSince, e.cold.endedUntil = now, now
		if e.info.StartedUnixMs != 0 {
			e.cold.endedUntil = now.Add(startListedDelay)
		}
	}
	if !s.endedPools[e.info.Pool] {
		return
	}
	if _, cold := s.coldLimit(e, now); !cold {
		s.clearEnded(e.info.Pool)
	}
}

// clearEnded ends the marks of a pool, one of whose replicas is warm. The caller holds mu.
func (s *Set) clearEnded(pool string) {
	delete(s.endedPools, pool)
	for _, e := range s.pool(pool) {
		if e.cold.ended {
			e.cold.ended = false
		}
	}
	s.notifyChanged()
}

// maybeEnded reports whether the replica's pool has ended and it is not known to be warm since.
func (e *entry) maybeEnded(now time.Time) bool {
	answered := !e.cold.endedUntil.IsZero() && !now.Before(e.cold.endedUntil)
	return e.cold.ended && !answered && now.Sub(e.cold.endedSince) < endedMax
}

// inContact reports whether data of the replica has arrived without a long pause for so long that the
// list would show a restart before that.
func (e *entry) inContact(now time.Time) bool {
	return !e.cold.contactSince.IsZero() && now.Sub(e.lastReceived) < recentContact && now.Sub(e.cold.contactSince) >= startListedDelay
}

// GrantEnded reports whether another node may send a request to a replica for which it considers the
// pool as ended: this node is in contact with the replica and knows it as warm, or it grants one send of
// its part of the rate, also if it knows nothing else of the replica. It does neither if it knows no limit of
// the pool.
func (s *Set) GrantEnded(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.info.Leaving || s.evacuated[e.info.Zone] || s.coldLimits[e.info.Pool].Rate <= 0 {
		return false
	}
	view := s.coldView(e, now)
	if view.Left == 0 {
		if e.inContact(now) {
			return true
		}
		view = s.pacedView(e, s.coldLimits[e.info.Pool], ColdView{Left: startListedDelay}, now)
	}
	return s.grant(e, &view, now)
}
