package replica

import "time"

// Ask is what a request wants of a replica.
type Ask struct {
	// Tokens is the part of its prompt that the replica is expected to read.
	Tokens int
	Batch  bool
	// Reserved is set if a slot of the replica is set aside for the request.
	Reserved bool
	// Granted is set if a node that feeds the replica, which is cold, gave the request a
	// place in its part of the rate.
	Granted bool
	// Borrowed is set if an item asks for a slot that is not its node's.
	Borrowed bool
	// Starved is set if it keeps the slot though online requests of other nodes want it.
	Starved bool
	// Objective is the time left until the first event is late; 0 if nobody minds.
	Objective time.Duration
}

// patience is how long a request may wait for a slot: a share of the time that is
// left if its first event then takes so long.
func (a Ask) patience(first time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(max(0, a.Objective-first)))
}

// Pressure is what makes items give way at a replica, with what was known.
type Pressure struct {
	// Queued is the number of requests that the replica says wait for a slot; 0 if
	// an arriving request was predicted to wait.
	Queued int
	// Wait is how long a request would wait, Patience how long it may.
	Wait, Patience time.Duration
	// Fleet is the part of all slots that online requests of all nodes need, if that is
	// why; 0 otherwise.
	Fleet float64
	// Age is the age of what the replica last said of its load.
	Age time.Duration
}

// Use counts one request at a replica until End.
type Use struct {
	set   *Set
	entry *entry
	pool  string
	ask   Ask
	sent  time.Time
	// spare is set if one of this node's slots was free when it was sent.
	spare bool
	first bool
	ended bool
	// heard is when anything last came of this request's answer; zero if nothing did.
	heard time.Time
	// gaveWay is set on items that were asked to give way.
	gaveWay bool
	// left is set once the replica is known to have started again since the request was
	// sent; reborn is closed then, if it was asked for.
	left   bool
	reborn chan struct{}
}

// Begin is BeginAt for a replica of any start.
func (s *Set) Begin(id string, ask Ask, now time.Time) *Use {
	return s.BeginAt(Info{ID: id}, ask, now)
}

// BeginAt counts a request about to be sent to a replica as it was chosen. An online request
// that would wait there for longer than it has time has an item of this node give way. It
// returns nil if the replica must not get the request now: it is cold, or has started again
// since it was chosen.
func (s *Set) BeginAt(chosen Info, ask Ask, now time.Time) *Use {
	use, why := s.begin(&chosen, ask, now)
	if why != nil && s.Pressed != nil {
		s.Pressed(chosen.ID, 1, *why)
	}
	return use
}

func (s *Set) begin(chosen *Info, ask Ask, now time.Time) (use *Use, why *Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.rebuild()
	}
	known := s.chosen(chosen)
	if known == nil {
		return nil, nil
	}
	candidate := s.candidate(known, now)
	if !s.admitCold(known, ask, now) {
		return nil, nil
	}
	if !ask.Batch && !ask.Reserved && candidate.swaps(ask) {
		why = &Pressure{Wait: candidate.waitForSlot(), Patience: ask.patience(candidate.First, candidate.PatienceShare), Age: candidate.Age}
	}
	use = &Use{set: s, pool: known.info.Pool, ask: ask, sent: now, spare: ask.Reserved || candidate.Spare()}
	s.demandOf(known.info.Pool).begin(ask, now)
	use.attach(known)
	return use, why
}

// Load takes in what the replica said of its load with an answer. If requests
// wait there for longer than they have time, items of this node give way.
func (u *Use) Load(load Load, now time.Time) {
	if id, items, why := u.takeLoad(load, now); items > 0 && u.set.Pressed != nil {
		u.set.Pressed(id, items, why)
	}
}

// takeLoad returns the replica, and the number of this node's items there that should give
// way.
func (u *Use) takeLoad(load Load, now time.Time) (id string, items int, why Pressure) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	id = u.entry.info.ID
	if u.entry.replaced {
		return id, 0, why
	}
	others := max(0, float64(load.Running+load.Waiting-u.entry.open))
	previous := u.entry.othersAt(now)
	u.entry.others = previous + othersWeight*(others-previous)
	u.entry.reported = now
	u.entry.waiting, u.entry.waitingAt = load.queued(), now
	candidate := u.set.candidate(u.entry, now)
	patience := time.Duration(candidate.PatienceShare / patienceLeast * float64(u.set.demandOf(u.entry.info.Pool).patience))
	bearable := int(patience / max(time.Millisecond, candidate.SlotTime))
	why = Pressure{Queued: load.queued(), Wait: time.Duration(load.queued()) * candidate.SlotTime, Patience: patience}
	return id, min(candidate.Batch, load.queued()-bearable), why
}

// Full notes that a replica, as it was asked, has no free slot.
func (s *Set) Full(asked Info, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.entries[asked.ID]; ok && known.info.SameStart(&asked) {
		known.others = max(known.othersAt(now), float64(known.info.Slots-known.open))
		known.reported = now
	}
}

// MarkPreempted notes that an item was asked to give way: its slot counts as free.
func (u *Use) MarkPreempted() {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.ask.Batch && !u.gaveWay && !u.ended {
		u.gaveWay = true
		u.entry.leaving++
		u.entry.lend(u.ask, -1)
	}
}

// First notes that the answer has begun: its prompt has been read.
func (u *Use) First(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.first {
		return
	}
	u.first = true
	u.entry.pending -= u.ask.Tokens
	if u.spare && !u.ask.Batch {
		u.set.demandOf(u.entry.info.Pool).begun(u.ask, now.Sub(u.sent))
	}
}

// Heard notes that something of this request's answer came: the replica is busy, not silent.
func (u *Use) Heard(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.heard, u.entry.heard, u.set.heard = now, now, now
}

// Silence returns the time since anything of any request came from the replica,
// or since this request was sent, whichever is shorter.
func (u *Use) Silence(now time.Time) time.Duration {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.entry.heard.After(u.sent) {
		return now.Sub(u.entry.heard)
	}
	return now.Sub(u.sent)
}

// OwnSilence returns the time since anything of this request's answer came, or since it was
// sent, and whether anything has come. A replica that answers others may never answer this
// request: its connection may be dead, or its run be lost.
func (u *Use) OwnSilence(now time.Time) (silence time.Duration, begun bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.heard.IsZero() {
		return now.Sub(u.sent), false
	}
	return now.Sub(u.heard), true
}

// End stops counting and takes in how the request ended.
func (u *Use) End(result Result, now time.Time) {
	info, ejected, ejection := u.finish(result, now)
	if ejected && u.set.Ejected != nil {
		u.set.Ejected(info, result)
	}
	u.set.ejectedByMany(ejection)
}

func (u *Use) finish(result Result, now time.Time) (info Info, ejected bool, ejection *SharedEjection) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.ended {
		return Info{}, false, nil
	}
	u.ended = true
	u.set.demandOf(u.pool).end(u.ask, !u.gaveWay, result, now.Sub(u.sent), now)
	u.detach()
	if result == Succeeded {
		u.set.heard = now
	}
	if !u.entry.replaced {
		ejected, ejection = u.set.observe(u.entry, result, now)
	}
	u.set.wake()
	return u.entry.info, ejected, ejection
}

// observe takes in how a request ended at a replica. It reports whether that ejected the
// replica, on own evidence or that of several nodes. The caller holds mu.
func (s *Set) observe(e *entry, result Result, now time.Time) (ejected bool, ejection *SharedEjection) {
	ejected = e.health.observe(result, now)
	e.own.observe(result, now)
	switch result {
	case Succeeded:
		s.reached(e, now)
	case Failed:
		ejection = s.evaluate(e, now)
	case Unreachable:
		e.unreachableAt = now
		ejection = s.evaluate(e, now)
		s.unreached(e, now)
	case Refused:
		// A replica that refuses has its slots and its queue full.
		e.others = max(e.others, refusedFill*float64(e.info.Slots))
		e.reported = now.Add(refusedFade - othersFade)
		e.refusedAt = now
	}
	return ejected, ejection
}
