package replica

import (
	"strconv"
	"time"
)

// A replica may restart under the same ID. What a node knows of the previous start (requests in
// flight, load, health, cold state, evidence) does not apply to the new one, so each start has an
// entry of its own. Requests keep the entry of the start that they were sent to, and their later
// results are recorded there without effect on the new start.

// recentlyUnreachable is how recently a restarted replica must have refused a connection for requests
// sent since then to count as sent to the new start: the previous start was no longer listening, so
// the new one accepted their connections. It exceeds the usual delay until the list shows a restart,
// 3 s, and most of the ejections after which a replica that is down is tried again, 0.7 to 6 s.
const recentlyUnreachable = 5 * time.Second

// Restart describes a replica that has restarted under its ID.
type Restart struct {
	// Replica is the new start; PreviousStartedUnixMs identifies the previous one.
	Replica               Info
	PreviousStartedUnixMs int64
	// Open is the number of this node's requests that were sent to the previous start, Batch the
	// items among them. Moved is the number of requests known to have been sent to the new start.
	Open, Batch, Moved int
}

// Incarnation identifies a start of a replica: its ID, and its start time if known.
func (i *Info) Incarnation() string {
	if i.StartedUnixMs == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.StartedUnixMs, 10)
}

// SameStart reports whether two descriptions of a replica may be of the same start. Start times,
// addresses or software versions distinguish starts only if both are known.
func (i *Info) SameStart(other *Info) bool {
	addressDiffers := i.Address != "" && other.Address != "" && i.Address != other.Address
	startDiffers := i.StartedUnixMs != 0 && other.StartedUnixMs != 0 && i.StartedUnixMs != other.StartedUnixMs
	softwareDiffers := i.SoftwareVersion != "" && other.SoftwareVersion != "" && i.SoftwareVersion != other.SoftwareVersion
	return i.ID == other.ID && !addressDiffers && !startDiffers && !softwareDiffers
}

// IsCurrentStart reports whether the start time that another process knows of a listed replica may be
// that of its current start. A startedUnixMs of 0 means unknown.
func (s *Set) IsCurrentStart(id string, startedUnixMs int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && e.info.SameStart(&Info{ID: id, StartedUnixMs: startedUnixMs})
}

// CurrentAndPrevious returns the descriptions of a listed replica and of its previous start; the
// latter is zero if unknown.
func (s *Set) CurrentAndPrevious(id string) (current, previous Info, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Info{}, Info{}, false
	}
	if e.previous != nil {
		previous = *e.previous
	}
	return e.info, previous, true
}

// entryFor returns the entry of a listed replica: the known one, or one that it creates if the replica
// is new or has restarted. The caller holds mu.
func (s *Set) entryFor(info *Info, now time.Time) (e *entry, created bool, restart *Restart) {
	e, ok := s.entries[info.ID]
	if !ok {
		e, ok = s.unlisted[info.ID]
	}
	delete(s.unlisted, info.ID)
	switch {
	case !ok:
		e, created = newEntry(Info{ID: info.ID}), true
	case e.info.SameStart(info):
		if info.StartedUnixMs == 0 {
			info.StartedUnixMs = e.info.StartedUnixMs
		}
	default:
		e, restart = s.restart(e, info, now)
		created = true
	}
	s.entries[info.ID] = e
	return e, created, restart
}

// restart returns a new entry for a replica that has restarted. Requests sent to the previous start
// are notified; those known to have been sent to the new start are moved to the new entry. The caller
// holds mu.
func (s *Set) restart(previous *entry, info *Info, now time.Time) (*entry, *Restart) {
	next := newEntry(*info)
	// A copy, because a pointer into the previous entry would keep all of them.
	before := previous.info
	next.restartedAt, next.previous = now, &before
	// The senders of a cold replica do not change with a restart, and this node keeps to its part
	// of the rate across it.
	if !previous.cold.nextSend.IsZero() {
		next.own().cold.nextSend = previous.cold.nextSend
	}
	previous.superseded = true
	s.recordPastSoftware(&previous.info)
	for use := range previous.uses {
		if previous.sentToSuccessor(use, now) {
			use.move(next)
		} else {
			use.markSuperseded(info)
		}
	}
	for follower := range previous.followers {
		close(follower)
	}
	return next, &Restart{Replica: *info, PreviousStartedUnixMs: previous.info.StartedUnixMs, Open: previous.open, Batch: previous.batch, Moved: next.open}
}

// sentToSuccessor reports whether a request registered at this entry was in fact sent to the new start
// of the replica, whose restart is noticed now. The caller holds mu.
func (e *entry) sentToSuccessor(use *Use, now time.Time) bool {
	return use.sent.After(e.unreachableAt) && now.Sub(e.unreachableAt) < recentlyUnreachable
}

// drop removes an entry from the list. It is kept in unlisted while it is in use. The caller holds mu.
func (s *Set) drop(e *entry) {
	s.recordPastSoftware(&e.info)
	delete(s.entries, e.info.ID)
	s.index.remove(e)
	if e.inUse() {
		s.unlisted[e.info.ID] = e
	}
}

// entryForSend returns the entry for a request to the chosen replica; nil if the replica has restarted
// since it was chosen. The caller holds mu.
func (s *Set) entryForSend(info *Info) *entry {
	e, ok := s.entries[info.ID]
	if !ok {
		e, ok = s.unlisted[info.ID]
	}
	switch {
	case !ok:
		e = newEntry(*info)
		s.unlisted[info.ID] = e
		return e
	case e.info.SameStart(info):
		return e
	default:
		return nil
	}
}

// Restarted returns a channel that is closed once the replica is known to have restarted since the
// request was sent, which means that no answer will come. It is never nil.
func (u *Use) Restarted() <-chan struct{} {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.restarted == nil {
		u.restarted = make(chan struct{})
		if u.superseded {
			close(u.restarted)
		}
	}
	return u.restarted
}

// Follow returns the address of a listed replica and a channel that is closed once the replica is
// known to have restarted. It is for reading an answer that another node requested, for which this
// node has no Use. The caller must call stop. If listed is false, the other results are zero.
func (s *Set) Follow(id string) (address string, restarted <-chan struct{}, stop func(), listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return "", nil, nil, false
	}
	follower := make(chan struct{})
	if e.followers == nil {
		e.followers = map[chan struct{}]struct{}{}
	}
	e.followers[follower] = struct{}{}
	return e.info.Address, follower, func() { s.unfollow(e, follower) }, true
}

func (s *Set) unfollow(e *entry, follower chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(e.followers, follower)
	s.removeUnused(e)
}

// removeUnused removes an unlisted entry that is no longer in use. The caller holds mu.
func (s *Set) removeUnused(e *entry) {
	if id := e.info.ID; !e.inUse() && s.unlisted[id] == e {
		delete(s.unlisted, id)
	}
}

// inUse reports whether this node awaits an answer of the replica. The caller holds mu.
func (e *entry) inUse() bool { return e.open > 0 || len(e.followers) > 0 }

// markSuperseded notifies the request that its replica has restarted. The caller holds mu.
func (u *Use) markSuperseded(next *Info) {
	u.superseded = true
	u.softwareUncertain = u.softwareUncertain || next.SoftwareVersion != u.entry.info.SoftwareVersion
	if u.restarted != nil {
		close(u.restarted)
	}
}

// attach registers the request at an entry. The caller holds mu.
func (u *Use) attach(to *entry) {
	u.entry = to
	if to.uses == nil {
		to.uses = map[*Use]struct{}{}
	}
	if len(to.uses) == 0 {
		to.own().awaitedSince = u.sent
	}
	to.uses[u] = struct{}{}
	u.set.index.activate(to)
	u.count(1)
}

// detach unregisters the request from its entry. The caller holds mu.
func (u *Use) detach() {
	u.count(-1)
	delete(u.entry.uses, u)
	u.set.removeUnused(u.entry)
}

// move registers the request at another entry. The caller holds mu.
func (u *Use) move(to *entry) {
	u.detach()
	u.attach(to)
}

// count adds the request to the counters of its entry (1), or removes it (-1). The caller holds mu.
func (u *Use) count(sign int) {
	u.entry.open += sign
	if !u.firstEvent {
		u.entry.pending += sign * u.request.Tokens
	}
	if u.request.Batch {
		u.entry.batch += sign
	}
	if u.preempted {
		u.entry.preempted += sign
	} else {
		u.entry.addBorrowed(u.request, sign)
	}
}
