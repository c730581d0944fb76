package replica

import "time"

// RequestInfo describes a request that is to be sent to a replica.
type RequestInfo struct {
	// Tokens is the number of prompt tokens that the replica is expected to process.
	Tokens int
	Batch  bool
	// Reserved is set if the replica has reserved a slot for the request.
	Reserved bool
	// Granted is set if a sender of the replica, which is cold, granted the request a send from
	// its part of the rate.
	Granted bool
	// Borrowed is set for an item that uses a slot of another node.
	Borrowed bool
	// Starved is set for an item in a borrowed slot that is not preempted when online requests need
	// the slot; see StarvedAfter.
	Starved bool
	// Objective is the time left until the first event is due; 0 if there is no objective.
	Objective time.Duration
}

// patience returns how long a request may wait for a slot: a share of what remains of its objective
// after the expected time to its first event.
func (r RequestInfo) patience(firstEvent time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(max(0, r.Objective-firstEvent)))
}

// Pressure describes the reason for preempting items at a replica.
type Pressure struct {
	// Queued is the number of requests that the replica reports as waiting for a slot; 0 if an
	// arriving request was predicted to wait.
	Queued int
	// Wait is the predicted wait for a slot, Patience the longest acceptable one.
	Wait, Patience time.Duration
	// Fleet is the part of all slots that online requests of all nodes need, if their need is the
	// reason; 0 otherwise.
	Fleet float64
	// Age is the age of the replica's last load report.
	Age time.Duration
}

// Use tracks one request in flight at a replica, from Set.Begin to End.
type Use struct {
	set     *Set
	entry   *entry
	pool    string
	request RequestInfo
	sent    time.Time
	// hadSpareSlot is set if one of this node's slots was free when the request was sent.
	hadSpareSlot bool
	firstEvent   bool
	ended        bool
	// lastReceived is when data of this request's answer last arrived; zero if none did.
	lastReceived time.Time
	// preempted is set on items that were asked to stop.
	preempted bool
	// superseded is set once the replica is known to have restarted since the request was sent.
	// restarted, if it was created, is closed at the same time.
	superseded bool
	restarted  chan struct{}
	// softwareUncertain is set once a restart with another software version is known, and the request
	// may have been sent to either start.
	softwareUncertain bool
	// connectedAt is when the connection that carries the answer was opened; zero if unknown.
	connectedAt time.Time
}

// Begin is like BeginAt, for whichever start of the replica is current.
func (s *Set) Begin(id string, req RequestInfo, now time.Time) *Use {
	return s.BeginAt(Info{ID: id}, req, now)
}

// BeginAt registers a request that is about to be sent to the chosen replica. An online request
// that would wait there longer than its objective permits preempts an item of this node. It
// returns nil if the request must not be sent now, because the replica is cold or has restarted
// since it was chosen.
func (s *Set) BeginAt(chosen Info, req RequestInfo, now time.Time) *Use {
	use, pressure := s.begin(&chosen, req, now)
	if pressure != nil && s.OnPressure != nil {
		s.OnPressure(chosen.ID, 1, *pressure)
	}
	return use
}

func (s *Set) begin(chosen *Info, req RequestInfo, now time.Time) (use *Use, pressure *Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIndex()
	e := s.entryForSend(chosen)
	if e == nil {
		return nil, nil
	}
	candidate := s.candidate(e, now)
	if !s.admitCold(e, req, now) {
		return nil, nil
	}
	if !req.Batch && !req.Reserved && candidate.preempts(req) {
		pressure = &Pressure{Wait: candidate.waitForSlot(), Patience: req.patience(candidate.FirstEvent, candidate.PatienceShare), Age: candidate.LoadAge}
	}
	use = &Use{set: s, pool: e.info.Pool, request: req, sent: now, hadSpareSlot: req.Reserved || candidate.HasSpareSlot()}
	s.estimatesFor(e.info.Pool).begin(req, now)
	use.attach(e)
	return use, pressure
}

// RecordLoad records the load that the replica reported with an answer. It preempts items of this node
// there if the predicted wait for a slot is too long.
func (u *Use) RecordLoad(load Load, now time.Time) {
	if id, items, pressure := u.recordLoad(load, now); items > 0 && u.set.OnPressure != nil {
		u.set.OnPressure(id, items, pressure)
	}
}

// recordLoad records the load and returns the replica, the number of this node's items to preempt there
// and the reason.
func (u *Use) recordLoad(load Load, now time.Time) (id string, items int, pressure Pressure) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	id = u.entry.info.ID
	if u.entry.superseded {
		return id, 0, pressure
	}
	others := max(0, float64(load.Running+load.Waiting-u.entry.open))
	previous := u.entry.decayedOthers(now)
	observed := u.entry.own()
	observed.others = previous + othersWeight*(others-previous)
	observed.othersUpdatedAt = now
	observed.waiting, observed.loadReportedAt = load.queued(), now
	candidate := u.set.candidate(u.entry, now)
	patience := time.Duration(candidate.PatienceShare / minPatienceShare * float64(u.set.estimatesFor(u.entry.info.Pool).patience))
	tolerable := int(patience / max(time.Millisecond, candidate.SlotTime))
	pressure = Pressure{Queued: load.queued(), Wait: time.Duration(load.queued()) * candidate.SlotTime, Patience: patience}
	return id, min(candidate.Batch, load.queued()-tolerable), pressure
}

// MarkFull records that a replica, asked for a reservation, had no free slot.
func (s *Set) MarkFull(asked Info, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[asked.ID]; ok && e.info.SameStart(&asked) {
		observed := e.own()
		observed.others = max(e.decayedOthers(now), float64(e.info.Slots-e.open))
		observed.othersUpdatedAt = now
	}
}

// MarkNotListening records that a replica, asked for a reservation, was not listening at its address. A later answer
// from there may be of another start.
func (s *Set) MarkNotListening(asked Info, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[asked.ID]; ok && e.info.SameStart(&asked) {
		e.own().unreachableAt = now
	}
}

// MarkPreempted records that an item was asked to stop, so that its slot counts as free.
func (u *Use) MarkPreempted() {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.request.Batch && !u.preempted && !u.ended {
		u.preempted = true
		u.entry.preempted++
		u.entry.addBorrowed(u.request, -1)
	}
}

// FirstEvent records the first event of the answer: the prompt has been processed.
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

// Received records that data of this request's answer arrived.
func (u *Use) Received(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.set.recordContact(u.entry, now)
	u.lastReceived, u.entry.own().lastReceived, u.set.lastReceived = now, now, now
}

// Silence returns the time since any data arrived from the replica, for any request, or since
// this request was sent, whichever is shorter.
func (u *Use) Silence(now time.Time) time.Duration {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.entry.lastReceived.After(u.sent) {
		return now.Sub(u.entry.lastReceived)
	}
	return now.Sub(u.sent)
}

// OwnSilence returns the time since data of this request's answer arrived, or since it was sent,
// and whether any data has arrived. A replica that answers other requests may never answer this
// one: its connection may be dead or its run lost.
func (u *Use) OwnSilence(now time.Time) (silence time.Duration, begun bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.lastReceived.IsZero() {
		return now.Sub(u.sent), false
	}
	return now.Sub(u.lastReceived), true
}

// End unregisters the request and records its result.
func (u *Use) End(result Result, now time.Time) {
	info, ejected, ejection := u.finish(result, now)
	if ejected && u.set.OnEjected != nil {
		u.set.OnEjected(info, result)
	}
	u.set.notifySharedEjection(ejection)
}

// finish does what End does, except for calling callbacks. It returns what to report to them.
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
		if result == NotAccepted {
			result = u.entry.observeNotAccepted(u.sent, now)
		}
		ejected, ejection = u.set.observe(u.entry, result, now)
	}
	u.set.notifyChanged()
	return u.entry.info, ejected, ejection
}

// observe records the result of a request at a replica. It reports whether that ejected the
// replica, on this node's evidence or on that of several nodes. The caller holds mu.
func (s *Set) observe(e *entry, result Result, now time.Time) (ejected bool, ejection *SharedEjection) {
	e.own()
	ejected = e.health.observe(result, now)
	e.ownTally.observe(result, now)
	switch result {
	case Succeeded:
		s.recordContact(e, now)
		s.recordReachable(e, now)
	case Failed:
		ejection = s.evaluate(e, now)
	case Unreachable:
		e.unreachableAt = now
		ejection = s.evaluate(e, now)
		s.recordUnreachable(e, now)
	case Refused:
		// A replica refuses only when its slots and its queue are full.
		e.others = max(e.others, refusedLoad*float64(e.info.Slots))
		e.othersUpdatedAt = now.Add(refusedDecayTime - othersDecayTime)
		e.refusedAt = now
	}
	return ejected, ejection
}
