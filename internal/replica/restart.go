package replica

import (
	"strconv"
	"time"
)

// A replica may start again under its ID. What a node keeps of the one before, its requests
// there, its load, health, warmth and the evidence about it, says nothing of the new one.
// So each start has an entry of its own. Requests keep the entry of the start that they were
// sent to, and what comes of them later is lost on it.

// recentlyUnreachable is how long ago a replica that has started again may have refused a
// connection for the requests sent since then to count as its own: nothing listened there
// in between, so the replica that took their connections is the new one. The list tells of
// a start within 3 s on the users' platform, and a replica that is down is tried again
// after 0.7 to 6 s.
const recentlyUnreachable = 5 * time.Second

// Restart tells of a replica that has started again under its id.
type Restart struct {
	// Replica is the new one, Before when the one before started, in Unix milliseconds.
	Replica               Info
	PreviousStartedUnixMs int64
	// Open counts the requests of this node that were sent to the one before, Batch those
	// of them that are items. Moved counts those known to have been sent to the new one.
	Open, Batch, Moved int
}

// Incarnation names a start of a replica: its ID, and its Born if it says that.
func (i *Info) Incarnation() string {
	if i.StartedUnixMs == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.StartedUnixMs, 10)
}

// SameStart reports whether what is said of a replica at two times may be about the same
// start of it. What is not said does not tell starts apart.
func (i *Info) SameStart(other *Info) bool {
	moved := i.Address != "" && other.Address != "" && i.Address != other.Address
	apart := i.StartedUnixMs != 0 && other.StartedUnixMs != 0 && i.StartedUnixMs != other.StartedUnixMs
	return i.ID == other.ID && !moved && !apart
}

// IsCurrentStart reports whether a listed replica may be the start of it that another process
// names by its Born, 0 if it does not say.
func (s *Set) IsCurrentStart(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && e.info.SameStart(&Info{ID: id, StartedUnixMs: born})
}

// CurrentAndPrevious returns what is said of a listed replica, and what was said of its start before;
// the latter is zero if this node knows of none.
func (s *Set) CurrentAndPrevious(id string) (now, previous Info, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Info{}, Info{}, false
	}
	return e.info, e.previous, true
}

// entryFor returns the entry of a replica that is listed now: the one that is known, or a
// fresh one if the replica is new or has started again. The caller holds mu.
func (s *Set) entryFor(info *Info, now time.Time) (e *entry, fresh bool, restart *Restart) {
	e, ok := s.entries[info.ID]
	if !ok {
		e, ok = s.unlisted[info.ID]
	}
	delete(s.unlisted, info.ID)
	switch {
	case !ok:
		e, fresh = &entry{key: Key(info.ID)}, true
	case e.info.SameStart(info):
		if info.StartedUnixMs == 0 {
			info.StartedUnixMs = e.info.StartedUnixMs
		}
	default:
		e, restart = s.restart(e, info, now)
		fresh = true
	}
	s.entries[info.ID] = e
	return e, fresh, restart
}

// restart returns a fresh entry for a replica that has started again. Requests at the one
// before are told, those sent to the new one already are counted there. The caller holds mu.
func (s *Set) restart(previous *entry, info *Info, now time.Time) (*entry, *Restart) {
	next := &entry{key: previous.key, info: *info, restartedAt: now, previous: previous.info}
	// The nodes that feed a cold replica are the same ones as before; this one keeps to its
	// part of the rate from one start to the next.
	next.cold.nextSend = previous.cold.nextSend
	previous.superseded = true
	for use := range previous.uses {
		if previous.sentToSuccessor(use, now) {
			use.move(next)
		} else {
			use.markSuperseded()
		}
	}
	for follower := range previous.followers {
		close(follower)
	}
	return next, &Restart{Replica: *info, PreviousStartedUnixMs: previous.info.StartedUnixMs, Open: previous.open, Batch: previous.batch, Moved: next.open}
}

// sentToSuccessor reports whether a request was sent to the replica that has taken the place of
// this one, noticed now. The caller holds mu.
func (e *entry) sentToSuccessor(use *Use, now time.Time) bool {
	return use.sent.After(e.unreachableAt) && now.Sub(e.unreachableAt) < recentlyUnreachable
}

// drop forgets an entry that is not listed any more, unless answers are awaited there. The
// caller holds mu.
func (s *Set) drop(e *entry) {
	delete(s.entries, e.info.ID)
	if e.inUse() {
		s.unlisted[e.info.ID] = e
	}
}

// entryForSend returns the entry to count a request at that is about to be sent to a replica as it
// was entryForSend; nil if the replica has started again since. The caller holds mu.
func (s *Set) entryForSend(info *Info) *entry {
	e, ok := s.entries[info.ID]
	if !ok {
		e, ok = s.unlisted[info.ID]
	}
	switch {
	case !ok:
		e = &entry{info: *info, key: Key(info.ID)}
		s.unlisted[info.ID] = e
		return e
	case e.info.SameStart(info):
		return e
	default:
		return nil
	}
}

// Restarted returns a channel that is closed once the replica is known to have started again
// since the request was sent: no answer comes from the one before. It is never nil.
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

// Follow returns the address of a listed replica, and a channel that is closed once the
// replica is known to have started again, for those who read an answer there that another
// node asked for: it is no use of this node. stop must be called; listed is false if the
// replica is not listed, and the rest nil then.
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

// removeUnused forgets an entry that is not listed once nobody waits for an answer there. The
// caller holds mu.
func (s *Set) removeUnused(e *entry) {
	if id := e.info.ID; !e.inUse() && s.unlisted[id] == e {
		delete(s.unlisted, id)
	}
}

// inUse reports whether anybody here waits for an answer of the replica. The caller holds
// mu.
func (e *entry) inUse() bool { return e.open > 0 || len(e.followers) > 0 }

// markSuperseded tells the request that its replica has started again. The caller holds mu.
func (u *Use) markSuperseded() {
	u.superseded = true
	if u.restarted != nil {
		close(u.restarted)
	}
}

// attach counts the request at an entry. The caller holds mu.
func (u *Use) attach(to *entry) {
	u.entry = to
	if to.uses == nil {
		to.uses = map[*Use]struct{}{}
	}
	to.uses[u] = struct{}{}
	u.count(1)
}

// detach ends that. The caller holds mu.
func (u *Use) detach() {
	u.count(-1)
	delete(u.entry.uses, u)
	u.set.removeUnused(u.entry)
}

// move counts the request at another entry. The caller holds mu.
func (u *Use) move(to *entry) {
	u.detach()
	u.attach(to)
}

// count adds the request to what is counted at its entry, or takes it off. The caller holds
// mu.
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
