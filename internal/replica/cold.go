package replica

import (
	"maps"
	"math"
	"time"
)

// A replica that has just started (is cold) sustains only a few requests a second. All nodes
// together must keep to that limit without coordination, and also while their views of the members
// differ. So a few live nodes, chosen by rendezvous hashing (Thaler and Ravishankar, 1998), are the
// senders of a cold replica. Each keeps to its part of the rate by spacing its sends, and all other
// nodes send nothing. See coldrate.go.

const (
	// recentContact is how recently this node must have received data from any replica to treat
	// an unreachable one as down while others of its pool accept connections. Otherwise this node
	// itself may be cut off, since data arrives from the replicas of a busy pool many times a second.
	recentContact = time.Second
	// startListedDelay is the maximum time from the first answer of a restarted replica until the
	// list shows the restart: the replica writes its row with its first heartbeat, after up to
	// 1.2 s, and the feed of changes adds some milliseconds.
	startListedDelay = 1500 * time.Millisecond
	// maxColdChanges bounds the changes that one call of ColdChanges returns.
	maxColdChanges = 256
)

// ColdLimit is the rate limit of the replicas of a pool while they are cold. The zero value means
// no limit.
type ColdLimit struct {
	// Rate is in requests per second, of all nodes together.
	Rate float64
	// Start is how long a replica is cold after its start.
	Start time.Duration
}

// ColdReason is why a replica is considered cold.
type ColdReason uint8

const (
	// ColdReported means that the replica reports that it is cold.
	ColdReported ColdReason = iota
	// ColdReturned means that the evacuation of its zone has just ended.
	ColdReturned
	// ColdUnreachable means that the replica accepted no connection recently.
	ColdUnreachable
	// ColdUnconfirmed means that a replica answers again after it was unreachable, and the list
	// does not show yet whether it restarted.
	ColdUnconfirmed
)

// String returns the name used in logs.
func (r ColdReason) String() string {
	switch r {
	case ColdReturned:
		return "its zone was evacuated"
	case ColdUnreachable:
		return "it was unreachable"
	case ColdUnconfirmed:
		return "it may have started again"
	default:
		return "it said so"
	}
}

// coldState is the cold state of a replica. The zero value is warm. The set's lock guards it.
type coldState struct {
	since, until time.Time
	reason       ColdReason
	// reportedUntil is until when the replica has reported to be cold; zero if a later report says that
	// it is warm.
	reportedUntil time.Time
	// nextSend is when this node may send it the next request.
	nextSend time.Time
	// senders are the indexes in Set.nodes of the nodes that may send to it, isSender is whether
	// this node is one of them. Both are outdated if generation differs from that of the set.
	senders    []int
	isSender   bool
	generation uint64
	// unreachable is set if the replica accepted no connection of this node since it last answered.
	unreachable bool
	// contactSince is since when data has arrived from the replica without a pause of recentContact;
	// zero if there is no contact.
	contactSince time.Time
	// ended is set if no replica of the pool accepted connections, endedSince is when this one last
	// did not, or first answered again, and endedUntil until when it counts as cold for that; zero
	// while it has not answered.
	ended                  bool
	endedSince, endedUntil time.Time
	// logged is the state that ColdChanges last returned.
	logged bool
}

// SetColdLimits sets the limits of cold replicas by pool. Pools without a limit are not restricted.
func (s *Set) SetColdLimits(limits map[string]ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.coldLimits, limits) {
		return
	}
	s.coldLimits = limits
	// The number of senders of a cold replica depends on its limit.
	s.generation++
	s.notifyChanged()
}

// coldLimit returns the limit of an entry and whether it is considered cold now. The caller holds mu.
func (s *Set) coldLimit(e *entry, now time.Time) (limit ColdLimit, cold bool) {
	if len(s.coldLimits) == 0 || !s.knownCold(e, now) && !s.listStale(now) && !e.maybeEnded(now) {
		return ColdLimit{}, false
	}
	limit, cold = s.coldLimits[e.info.Pool]
	return limit, cold && limit.Rate > 0
}

// confirmedCold reports whether an entry is considered cold for another reason than the age of the
// list or the end of its pool. The caller holds mu.
func (s *Set) confirmedCold(e *entry, now time.Time) bool {
	_, cold := s.coldLimit(e, now)
	return cold && s.knownCold(e, now)
}

// knownCold reports whether an entry was cold and is not known to be warm since. The caller holds mu.
func (s *Set) knownCold(e *entry, now time.Time) bool {
	return now.Before(e.cold.until) || s.awaitsWarmReport(e)
}

// markCold marks an entry as cold until the given time, unless it is already marked for longer. The
// caller holds mu.
func (s *Set) markCold(e *entry, until time.Time, reason ColdReason, now time.Time) {
	if !until.After(e.cold.until) {
		return
	}
	e.own()
	if !now.Before(e.cold.until) {
		if !s.awaitsWarmReport(e) {
			e.cold.since = now
		}
		e.cold.reason = reason
		if len(s.coldLimits) > 0 {
			s.chooseSenders(e)
		}
	}
	if e.cold.reason == ColdUnreachable || e.cold.reason == ColdUnconfirmed {
		e.cold.reason = reason
	}
	e.cold.until = until
}

// markPresumedCold marks an entry as cold although the replica did not report it: its row, written
// with each heartbeat, may be older than the event. The caller holds mu.
func (s *Set) markPresumedCold(e *entry, from time.Time, reason ColdReason, now time.Time) {
	if limit, ok := s.coldLimits[e.info.Pool]; ok && limit.Rate > 0 {
		s.markCold(e, from.Add(limit.Start), reason, now)
	}
}

// ReportCold records that the replica reports being cold for some time longer.
func (u *Use) ReportCold(left time.Duration, now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.set.markReportedCold(u.entry, left, now)
}

// recordUnreachable records that a replica accepted no connection. While it is ejected for that, it
// counts as cold, so that even as a last resort only its senders try it. If no data arrives from any
// replica, this node is likely cut off, and that is not recorded unless the pool may have ended, see
// recordRefusal. The caller holds mu.
func (s *Set) recordUnreachable(e *entry, now time.Time) {
	if s.coldLimits[e.info.Pool].Rate <= 0 {
		return
	}
	s.recordRefusal(e, now)
	if !e.maybeEnded(now) && now.Sub(s.lastReceived) < recentContact {
		s.markCold(e, e.health.ejectedUntil, ColdUnreachable, now)
	}
}

// recordReachable records that a replica answered after it was unreachable. A replica that reports no
// start time gets a new ID when it restarts, so one with the same ID did not restart and is warm.
// Others may have restarted under their ID, which the list shows soon. The caller holds mu.
func (s *Set) recordReachable(e *entry, now time.Time) {
	if e.cold.reason != ColdUnreachable || !now.Before(e.cold.until) {
		return
	}
	e.cold.until = now
	if e.info.StartedUnixMs != 0 {
		e.cold.reason, e.cold.until = ColdUnconfirmed, now.Add(startListedDelay)
	}
}

// markReturned marks the replicas of zones whose evacuation ends as cold. They are idle, so all nodes
// would otherwise send to them at once. zones are those that remain evacuated. The caller holds mu.
func (s *Set) markReturned(zones map[string]bool, now time.Time) {
	for _, e := range s.entries {
		if s.evacuated[e.info.Zone] && !zones[e.info.Zone] {
			s.markPresumedCold(e, now, ColdReturned, now)
		}
	}
}

// ColdView is what a node may send to a replica while it is cold.
type ColdView struct {
	// Left is how much longer the replica is considered cold; 0 if it is warm.
	Left time.Duration
	// Wait is the time until this node may send it a request. If this node is not one of its
	// senders, that is when the replica is warm.
	Wait time.Duration
	// Idle is set if online requests have left this node's part of the rate unused.
	Idle bool
	// Rate is this node's part of the rate, in requests per second.
	Rate float64
	// Presumed is set if the only reason to consider the replica cold is that no current list shows
	// that it is warm. Left is then the time until the next check.
	Presumed bool
	// Ended is set if the only reason is that no replica of the pool accepted connections. Left is
	// then the time until the next check.
	Ended bool
}

// Blocks reports whether a request must not be sent to the replica now.
func (v ColdView) Blocks(batch bool) bool {
	return v.Left > 0 && (v.Wait > 0 || batch && !v.Idle)
}

// coldView returns what this node may send to an entry. The caller holds mu.
func (s *Set) coldView(e *entry, now time.Time) ColdView {
	limit, cold := s.coldLimit(e, now)
	if !cold {
		return ColdView{}
	}
	view := ColdView{Left: e.cold.until.Sub(now)}
	switch {
	case now.Before(e.cold.until):
	case e.maybeEnded(now):
		view = ColdView{Left: maxListAge, Ended: true}
	default:
		view = ColdView{Left: maxListAge, Presumed: true}
	}
	return s.pacedView(e, limit, view, now)
}

// pacedView adds to a view of an entry, which is considered cold, what this node may send by its part of
// the rate. The caller holds mu.
func (s *Set) pacedView(e *entry, limit ColdLimit, view ColdView, now time.Time) ColdView {
	_, rate := s.ColdTolerance.split(limit.Rate)
	if rate <= 0 || !s.isColdSender(e, now) {
		view.Wait = view.Left
		return view
	}
	view.Rate = rate
	view.Wait = min(max(0, e.cold.nextSend.Sub(now)), view.Left)
	view.Idle = !now.Before(e.cold.nextSend.Add(interval(rate)))
	return view
}

// allBlocked reports whether all of the given entries are cold and must not get a request now. The
// caller holds mu.
func (s *Set) allBlocked(list []*entry, batch bool, now time.Time) bool {
	if len(s.coldLimits) == 0 {
		return false
	}
	for _, e := range list {
		if !s.coldView(e, now).Blocks(batch) {
			return false
		}
	}
	return true
}

// admitCold reports whether a request may be sent to an entry, and if the entry is cold, uses up one
// send of this node's part of the rate. The caller holds mu.
func (s *Set) admitCold(e *entry, req RequestInfo, now time.Time) bool {
	if req.Granted {
		return true
	}
	view := s.coldView(e, now)
	if view.Blocks(req.Batch) {
		s.coldHeldBack++
		return false
	}
	if view.Left > 0 {
		e.own().cold.nextSend = now.Add(interval(view.Rate))
	}
	return true
}

// interval returns the time between two requests at a rate.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// ColdHeldBack returns the number of sends that were held back because a replica was cold.
func (s *Set) ColdHeldBack() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldHeldBack
}

// RecordHeldBack counts a request that waits because all replicas that could serve it are cold.
func (s *Set) RecordHeldBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldHeldBack++
}

// ColdChange is a change of a replica to cold, or back to warm.
type ColdChange struct {
	Info   Info
	Cold   bool
	Reason ColdReason
	// For is how long the replica has been cold, Left how much longer it will be.
	For, Left time.Duration
}

// ColdChanges returns the changes since the last call, for the log. It returns at most
// maxColdChanges; the next call returns the others.
func (s *Set) ColdChanges(now time.Time) []ColdChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.coldLimits) == 0 {
		return nil
	}
	var changes []ColdChange
	for _, e := range s.entries {
		cold := s.confirmedCold(e, now)
		if cold == e.cold.logged || len(changes) == maxColdChanges {
			continue
		}
		e.own().cold.logged = cold
		changes = append(changes, ColdChange{
			Info: e.info, Cold: cold, Reason: e.cold.reason,
			For: now.Sub(e.cold.since), Left: max(0, e.cold.until.Sub(now)),
		})
	}
	return changes
}

// CountCold returns the number of replicas that are considered cold, without those that were not cold
// when the list was last current.
func (s *Set) CountCold(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, e := range s.entries {
		if s.confirmedCold(e, now) {
			count++
		}
	}
	return count
}
