package replica

import "time"

// RequestInfo is what a request wants of a replica.
type RequestInfo struct {
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
func (a RequestInfo) patience(first time.Duration, share float64) time.Duration {
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
	set     *Set
	entry   *entry
	pool    string
	request RequestInfo
	sent    time.Time
	// hadSpareSlot is set if one of this node's slots was free when it was sent.
	hadSpareSlot bool
	firstEvent   bool
	ended        bool
	// lastReceived is when anything last came of this request's answer; zero if nothing did.
	lastReceived time.Time
	// preempted is set on items that were asked to give way.
	preempted bool
	// superseded is set once the replica is known to have started again since the request was
	// sent; reborn is closed then, if it was asked for.
	superseded bool
	restarted  chan struct{}
}

// Begin is BeginAt for a replica of any start.
func (s *Set) Begin(id string, req RequestInfo, now time.Time) *Use {
	return s.BeginAt(Info{ID: id}, req, now)
}

// BeginAt counts a request about to be sent to a replica as it was chosen. An online request
// that would wait there for longer than it has time has an item of this node give way. It
// returns nil if the replica must not get the request now: it is cold, or has started again
// since it was chosen.
func (s *Set) BeginAt(chosen Info, req RequestInfo, now time.Time) *Use {
	use, why := s.begin(&chosen, req, now)
	if why != nil && s.OnPressure != nil {
		s.OnPressure(chosen.ID, 1, *why)
	}
	return use
}

func (s *Set) begin(chosen *Info, req RequestInfo, now time.Time) (use *Use, why *Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.indexStale {
		s.rebuild()
	}
	e := s.entryForSend(chosen)
	if e == nil {
		return nil, nil
	}
	candidate := s.candidate(e, now)
	if !s.admitCold(e, req, now) {
		return nil, nil
	}
	if !req.Batch && !req.Reserved && candidate.preempts(req) {
		why = &Pressure{Wait: candidate.waitForSlot(), Patience: req.patience(candidate.FirstEvent, candidate.PatienceShare), Age: candidate.LoadAge}
	}
	use = &Use{set: s, pool: e.info.Pool, request: req, sent: now, hadSpareSlot: req.Reserved || candidate.HasSpareSlot()}
	s.estimatesFor(e.info.Pool).begin(req, now)
	use.attach(e)
	return use, why
}

// RecordLoad takes in what the replica said of its load with an answer. If requests
// wait there for longer than they have time, items of this node give way.
func (u *Use) RecordLoad(load Load, now time.Time) {
	if id, items, why := u.recordLoad(load, now); items > 0 && u.set.OnPressure != nil {
		u.set.OnPressure(id, items, why)
	}
}

// recordLoad returns the replica, and the number of this node's items there that should give
// way.
func (u *Use) recordLoad(load Load, now time.Time) (id string, items int, why Pressure) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	id = u.entry.info.ID
	if u.entry.superseded {
		return id, 0, why
	}
	others := max(0, float64(load.Running+load.Waiting-u.entry.open))
	previous := u.entry.decayedOthers(now)
	u.entry.others = previous + othersWeight*(others-previous)
	u.entry.othersUpdatedAt = now
	u.entry.waiting, u.entry.loadReportedAt = load.queued(), now
	candidate := u.set.candidate(u.entry, now)
	patience := time.Duration(candidate.PatienceShare / minPatienceShare * float64(u.set.estimatesFor(u.entry.info.Pool).patience))
	tolerable := int(patience / max(time.Millisecond, candidate.SlotTime))
	why = Pressure{Queued: load.queued(), Wait: time.Duration(load.queued()) * candidate.SlotTime, Patience: patience}
	return id, min(candidate.Batch, load.queued()-tolerable), why
}

// MarkFull notes that a replica, as it was asked, has no free slot.
func (s *Set) MarkFull(asked Info, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[asked.ID]; ok && e.info.SameStart(&asked) {
		e.others = max(e.decayedOthers(now), float64(e.info.Slots-e.open))
		e.othersUpdatedAt = now
	}
}

// MarkPreempted notes that an item was asked to give way: its slot counts as free.
func (u *Use) MarkPreempted() {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.request.Batch && !u.preempted && !u.ended {
		u.preempted = true
		u.entry.preempted++
		u.entry.addBorrowed(u.request, -1)
	}
}

// FirstEvent notes that the answer has begun: its prompt has been read.
func (u *Use) FirstEvent(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.firstEvent {
		return
	}
	u.firstEvent = true
	u.entry.pending -= u.request.Tokens
	if u.hadSpareSlot && !u.request.Batch {
		u.set.estimatesFor(u.entry.info.Pool).observeFirstEvent(u.request, now.Sub(u.sent))
	}
}

// Received notes that something of this request's answer came: the replica is busy, not silent.
func (u *Use) Received(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.lastReceived, u.entry.lastReceived, u.set.lastReceived = now, now, now
}

// Silence returns the time since anything of any request came from the replica,
// or since this request was sent, whichever is shorter.
func (u *Use) Silence(now time.Time) time.Duration {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.entry.lastReceived.After(u.sent) {
		return now.Sub(u.entry.lastReceived)
	}
	return now.Sub(u.sent)
}

// OwnSilence returns the time since anything of this request's answer came, or since it was
// sent, and whether anything has come. A replica that answers others may never answer this
// request: its connection may be dead, or its run be lost.
func (u *Use) OwnSilence(now time.Time) (silence time.Duration, begun bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.lastReceived.IsZero() {
		return now.Sub(u.sent), false
	}
	return now.Sub(u.lastReceived), true
}

// End stops counting and takes in how the request ended.
func (u *Use) End(result Result, now time.Time) {
	info, ejected, ejection := u.finish(result, now)
	if ejected && u.set.OnEjected != nil {
		u.set.OnEjected(info, result)
	}
	u.set.notifySharedEjection(ejection)
}

func (u *Use) finish(result Result, now time.Time) (info Info, ejected bool, ejection *SharedEjection) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.ended {
		return Info{}, false, nil
	}
	u.ended = true
	u.set.estimatesFor(u.pool).end(u.request, !u.preempted, result, now.Sub(u.sent), now)
	u.detach()
	if result == Succeeded {
		u.set.lastReceived = now
	}
	if !u.entry.superseded {
		ejected, ejection = u.set.observe(u.entry, result, now)
	}
	u.set.notifyChanged()
	return u.entry.info, ejected, ejection
}

// observe takes in how a request ended at a replica. It reports whether that ejected the
// replica, on own evidence or that of several nodes. The caller holds mu.
func (s *Set) observe(e *entry, result Result, now time.Time) (ejected bool, ejection *SharedEjection) {
	ejected = e.health.observe(result, now)
	e.ownTally.observe(result, now)
	switch result {
	case Succeeded:
		s.noteReachable(e, now)
	case Failed:
		ejection = s.evaluate(e, now)
	case Unreachable:
		e.unreachableAt = now
		ejection = s.evaluate(e, now)
		s.noteUnreachable(e, now)
	case Refused:
		// A replica that refuses has its slots and its queue full.
		e.others = max(e.others, refusedLoad*float64(e.info.Slots))
		e.othersUpdatedAt = now.Add(refusedDecayTime - othersDecayTime)
		e.refusedAt = now
	}
	return ejected, ejection
}
