package replica

import (
	"maps"
	"math"
	"time"
)

// A replica that has just started bears only a few requests a second. How many all nodes
// together send it must hold without a word between them, and also while they differ
// about who is there. So a few nodes, chosen by rendezvous hashing (Thaler and Ravishankar,
// 1998) over the live ones, feed a cold replica; each of them keeps to its part of the
// rate by spacing its sends, and all others send it nothing. See coldrate.go.

const (
	// recentContact is how long ago something must have come from any replica for one
	// that cannot be reached to be taken as gone: otherwise it is this node that is cut
	// off. Replicas of a busy pool are heard from many times a second.
	recentContact = time.Second
	// startListedDelay is how long after the first answer of a replica that has started the
	// list says so at the latest, in calm: it writes its entry with its first heartbeat, each
	// 1.2 s on the users' platform, and the feed takes some ms.
	startListedDelay = 1500 * time.Millisecond
	// maxColdChanges bounds the changes that wait to be logged.
	maxColdChanges = 256
)

// ColdLimit is what replicas of a pool bear while they are cold. The zero value bounds
// nothing.
type ColdLimit struct {
	// Rate is in requests a second.
	Rate float64
	// Start is how long a replica is cold after its start.
	Start time.Duration
}

// ColdReason says why a replica is taken as cold.
type ColdReason uint8

const (
	// ColdReported replicas say so themselves.
	ColdReported ColdReason = iota
	// ColdReturned replicas stand in a zone that operators emptied a moment ago.
	ColdReturned
	// ColdUnreachable replicas took no connection a moment ago.
	ColdUnreachable
	// ColdUnconfirmed replicas answer again after that: the list tells soon whether they are
	// the ones from before.
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

// coldState is what is known of a replica's warming up. The zero value is warm. The set's
// lock guards it.
type coldState struct {
	since, until time.Time
	reason       ColdReason
	// nextSend is when this node may send it the nextSend request.
	nextSend time.Time
	// senders are the nodes that may, by their places among the set's, feeds is whether
	// this node is one of them; both were worked out for that division.
	senders  []int
	isSender bool
	division uint64
	// logged is what ColdChanges last told.
	logged bool
}

// SetColdLimits sets what cold replicas bear, by pool. Pools without a limit are not bounded.
func (s *Set) SetColdLimits(limits map[string]ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.coldLimits, limits) {
		return
	}
	s.coldLimits = limits
	// How many nodes feed a cold replica depends on its limit.
	s.division++
	s.notifyChanged()
}

// coldLimit returns the limit of an entry that is taken as cold now. The caller holds mu.
func (s *Set) coldLimit(e *entry, now time.Time) (limit ColdLimit, cold bool) {
	if len(s.coldLimits) == 0 || !now.Before(e.cold.until) && !s.listStale(now) {
		return ColdLimit{}, false
	}
	limit, cold = s.coldLimits[e.info.Pool]
	return limit, cold && limit.Rate > 0
}

// confirmedCold reports whether something tells that an entry is cold now, other than the age
// of the list. The caller holds mu.
func (s *Set) confirmedCold(e *entry, now time.Time) bool {
	_, cold := s.coldLimit(e, now)
	return cold && now.Before(e.cold.until)
}

// markCold takes an entry as cold until a moment, or for longer if it is known to be. The
// caller holds mu.
func (s *Set) markCold(e *entry, until time.Time, reason ColdReason, now time.Time) {
	if !until.After(e.cold.until) {
		return
	}
	if !now.Before(e.cold.until) {
		e.cold.since, e.cold.reason = now, reason
		s.chooseSenders(e)
	}
	if e.cold.reason == ColdUnreachable || e.cold.reason == ColdUnconfirmed {
		e.cold.reason = reason
	}
	e.cold.until = until
}

// markPresumedCold takes an entry as cold though it did not say so: its row, written about
// each heartbeat, may be older than what happened. The caller holds mu.
func (s *Set) markPresumedCold(e *entry, from time.Time, reason ColdReason, now time.Time) {
	if limit, ok := s.coldLimits[e.info.Pool]; ok && limit.Rate > 0 {
		s.markCold(e, from.Add(limit.Start), reason, now)
	}
}

// ReportCold takes in that a replica says that it is cold for so long yet.
func (u *Use) ReportCold(left time.Duration, now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.set.markCold(u.entry, now.Add(left), ColdReported, now)
}

// noteUnreachable takes in that a replica took no connection: as long as it is left out for
// that, only the nodes that feed it try, also as a last resort. If nothing comes from any
// replica it is this node that is cut off. The caller holds mu.
func (s *Set) noteUnreachable(e *entry, now time.Time) {
	if limit := s.coldLimits[e.info.Pool]; limit.Rate > 0 && now.Sub(s.lastReceived) < recentContact {
		s.markCold(e, e.health.ejectedUntil, ColdUnreachable, now)
	}
}

// noteReachable takes in that a replica answered after it was unreachable. One that does not say
// when it was born would have another id if it had started: it is as warm as before. Others
// may have started again under theirs, which the list tells soon. The caller holds mu.
func (s *Set) noteReachable(e *entry, now time.Time) {
	if e.cold.reason != ColdUnreachable || !now.Before(e.cold.until) {
		return
	}
	e.cold.until = now
	if e.info.StartedUnixMs != 0 {
		e.cold.reason, e.cold.until = ColdUnconfirmed, now.Add(startListedDelay)
	}
}

// markReturned takes in that zones are not emptied any more: their replicas have nothing to
// do, so all nodes would fill them at once. The caller holds mu.
func (s *Set) markReturned(zones map[string]bool, now time.Time) {
	for _, e := range s.entries {
		if s.evacuated[e.info.Zone] && !zones[e.info.Zone] {
			s.markPresumedCold(e, now, ColdReturned, now)
		}
	}
}

// ColdView is what a node does with a cold replica.
type ColdView struct {
	// Left is how long it is taken as cold yet; 0 if it is warm.
	Left time.Duration
	// Wait is the time until this node may send it a request: until it is warm if other
	// nodes feed it.
	Wait time.Duration
	// Idle is set if online requests have left this node's part of the rate unused.
	Idle bool
	// Rate is this node's part in requests a second.
	Rate float64
	// Presumed is set if nothing tells that it is cold but the age of the list; Left is
	// then when to look again.
	Presumed bool
}

// Blocks reports whether a request must not be sent there now.
func (v ColdView) Blocks(batch bool) bool {
	return v.Left > 0 && (v.Wait > 0 || batch && !v.Idle)
}

// coldView returns what this node may do with an entry. The caller holds mu.
func (s *Set) coldView(e *entry, now time.Time) ColdView {
	limit, cold := s.coldLimit(e, now)
	if !cold {
		return ColdView{}
	}
	view := ColdView{Left: e.cold.until.Sub(now)}
	if s.presumedCold(e, now) {
		view = ColdView{Left: maxListAge, Presumed: true}
	}
	_, rate := s.ColdTolerance.parts(limit.Rate)
	if rate <= 0 || !s.isColdSender(e, now) {
		view.Wait = view.Left
		return view
	}
	view.Rate = rate
	view.Wait = min(max(0, e.cold.nextSend.Sub(now)), view.Left)
	view.Idle = !now.Before(e.cold.nextSend.Add(interval(rate)))
	return view
}

// allBlocked reports whether all of some entries are cold and must not get a request now.
// The caller holds mu.
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

// admitCold takes a request's place in this node's part of the rate, unless there is none
// now. It reports whether the request may be sent. The caller holds mu.
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
		e.cold.nextSend = now.Add(interval(view.Rate))
	}
	return true
}

// interval is the time between two requests at a rate.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// ColdHeldBack counts the sends that were held back because a replica was cold.
func (s *Set) ColdHeldBack() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldHeldBack
}

// NoteHeldBack notes a request that waits because all replicas that it could go to are cold.
func (s *Set) NoteHeldBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldHeldBack++
}

// ColdChange is a replica that is taken as cold, or as warm again.
type ColdChange struct {
	Info   Info
	Cold   bool
	Reason ColdReason
	// For is how long it has been cold, Left how long it will be.
	For, Left time.Duration
}

// ColdChanges returns what has changed since the last call, maxColdChanges at most; the
// rest comes with the next one. It is for the log.
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
		e.cold.logged = cold
		changes = append(changes, ColdChange{
			Info: e.info, Cold: cold, Reason: e.cold.reason,
			For: now.Sub(e.cold.since), Left: max(0, e.cold.until.Sub(now)),
		})
	}
	return changes
}

// CountCold returns the number of replicas that are known to be cold.
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
