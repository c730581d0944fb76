package replica

import (
	"strconv"
	"time"
)

// A replica may start again under its ID. What a node keeps of the one before, its requests
// there, its load, health, warmth and the evidence about it, says nothing of the new one.
// So each start has an entry of its own. Requests keep the entry of the start that they were
// sent to, and what comes of them later is lost on it.

// unreachableLately is how long ago a replica that has started again may have refused a
// connection for the requests sent since then to count as its own: nothing listened there
// in between, so the replica that took their connections is the new one. The list tells of
// a start within 3 s on the users' platform, and a replica that is down is tried again
// after 0.7 to 6 s.
const unreachableLately = 5 * time.Second

// Restart tells of a replica that has started again under its id.
type Restart struct {
	// Replica is the new one, Before when the one before started, in Unix milliseconds.
	Replica Info
	Before  int64
	// Open counts the requests of this node that were sent to the one before, Batch those
	// of them that are items. Moved counts those known to have been sent to the new one.
	Open, Batch, Moved int
}

// Incarnation names a start of a replica: its ID, and its Born if it says that.
func (i *Info) Incarnation() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.Born, 10)
}

// SameStart reports whether what is said of a replica at two times may be about the same
// start of it. What is not said does not tell starts apart.
func (i *Info) SameStart(other *Info) bool {
	moved := i.Address != "" && other.Address != "" && i.Address != other.Address
	apart := i.Born != 0 && other.Born != 0 && i.Born != other.Born
	return i.ID == other.ID && !moved && !apart
}

// Started reports whether a listed replica may be the start of it that another process
// names by its Born, 0 if it does not say.
func (s *Set) Started(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	return ok && known.info.SameStart(&Info{ID: id, Born: born})
}

// Starts returns what is said of a listed replica, and what was said of its start before;
// the latter is zero if this node knows of none.
func (s *Set) Starts(id string) (now, before Info, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok {
		return Info{}, Info{}, false
	}
	return known.info, known.before, true
}

// entryFor returns the entry of a replica that is listed now: the one that is known, or a
// fresh one if the replica is new or has started again. The caller holds mu.
func (s *Set) entryFor(info *Info, now time.Time) (known *entry, fresh bool, restart *Restart) {
	known, ok := s.entries[info.ID]
	if !ok {
		known, ok = s.unlisted[info.ID]
	}
	delete(s.unlisted, info.ID)
	switch {
	case !ok:
		known, fresh = &entry{key: Key(info.ID)}, true
	case known.info.SameStart(info):
		if info.Born == 0 {
			info.Born = known.info.Born
		}
	default:
		known, restart = s.restart(known, info, now)
		fresh = true
	}
	s.entries[info.ID] = known
	return known, fresh, restart
}

// restart returns a fresh entry for a replica that has started again. Requests at the one
// before are told, those sent to the new one already are counted there. The caller holds mu.
func (s *Set) restart(before *entry, info *Info, now time.Time) (*entry, *Restart) {
	next := &entry{key: before.key, info: *info, restartedAt: now, before: before.info}
	// The nodes that feed a cold replica are the same ones as before; this one keeps to its
	// part of the rate from one start to the next.
	next.cold.next = before.cold.next
	before.replaced = true
	for use := range before.uses {
		if before.sentSince(use, now) {
			use.move(next)
		} else {
			use.replaced()
		}
	}
	for follower := range before.followers {
		close(follower)
	}
	return next, &Restart{Replica: *info, Before: before.info.Born, Open: before.open, Batch: before.batch, Moved: next.open}
}

// sentSince reports whether a request was sent to the replica that has taken the place of
// this one, noticed now. The caller holds mu.
func (e *entry) sentSince(use *Use, now time.Time) bool {
	return use.sent.After(e.unreachableAt) && now.Sub(e.unreachableAt) < unreachableLately
}

// drop forgets an entry that is not listed any more, unless answers are awaited there. The
// caller holds mu.
func (s *Set) drop(known *entry) {
	delete(s.entries, known.info.ID)
	if known.awaited() {
		s.unlisted[known.info.ID] = known
	}
}

// chosen returns the entry to count a request at that is about to be sent to a replica as it
// was chosen; nil if the replica has started again since. The caller holds mu.
func (s *Set) chosen(info *Info) *entry {
	known, ok := s.entries[info.ID]
	if !ok {
		known, ok = s.unlisted[info.ID]
	}
	switch {
	case !ok:
		known = &entry{info: *info, key: Key(info.ID)}
		s.unlisted[info.ID] = known
		return known
	case known.info.SameStart(info):
		return known
	default:
		return nil
	}
}

// Restarted returns a channel that is closed once the replica is known to have started again
// since the request was sent: no answer comes from the one before. It is never nil.
func (u *Use) Restarted() <-chan struct{} {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.reborn == nil {
		u.reborn = make(chan struct{})
		if u.left {
			close(u.reborn)
		}
	}
	return u.reborn
}

// Follow returns the address of a listed replica, and a channel that is closed once the
// replica is known to have started again, for those who read an answer there that another
// node asked for: it is no use of this node. stop must be called; listed is false if the
// replica is not listed, and the rest nil then.
func (s *Set) Follow(id string) (address string, reborn <-chan struct{}, stop func(), listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok {
		return "", nil, nil, false
	}
	follower := make(chan struct{})
	if known.followers == nil {
		known.followers = map[chan struct{}]struct{}{}
	}
	known.followers[follower] = struct{}{}
	return known.info.Address, follower, func() { s.unfollow(known, follower) }, true
}

func (s *Set) unfollow(known *entry, follower chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(known.followers, follower)
	s.forgetUnused(known)
}

// forgetUnused forgets an entry that is not listed once nobody waits for an answer there. The
// caller holds mu.
func (s *Set) forgetUnused(known *entry) {
	if id := known.info.ID; !known.awaited() && s.unlisted[id] == known {
		delete(s.unlisted, id)
	}
}

// awaited reports whether anybody here waits for an answer of the replica. The caller holds
// mu.
func (e *entry) awaited() bool { return e.open > 0 || len(e.followers) > 0 }

// replaced tells the request that its replica has started again. The caller holds mu.
func (u *Use) replaced() {
	u.left = true
	if u.reborn != nil {
		close(u.reborn)
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
	u.set.forgetUnused(u.entry)
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
	if !u.first {
		u.entry.pending += sign * u.ask.Tokens
	}
	if u.ask.Batch {
		u.entry.batch += sign
	}
	if u.gaveWay {
		u.entry.leaving += sign
	} else {
		u.entry.lend(u.ask, sign)
	}
}
