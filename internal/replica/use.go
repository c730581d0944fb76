package replica

import "time"

// Use counts one request at a replica until End.
type Use struct {
	set    *Set
	entry  *entry
	tokens int
	batch  bool
	sent   time.Time
	first  bool
	ended  bool
}

// Begin counts a request about to be sent to a replica. tokens is the part of
// its prompt that the replica is expected to read.
func (s *Set) Begin(id string, tokens int, batch bool, now time.Time) *Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok {
		known = &entry{}
	}
	known.open++
	known.pending += tokens
	if batch {
		known.batch++
	}
	return &Use{set: s, entry: known, tokens: tokens, batch: batch, sent: now}
}

// Load takes in what the replica said of its load with an answer.
func (u *Use) Load(load Load, now time.Time) {
	batch := u.takeLoad(load, now)
	yield := load.Waiting / yieldDivisor
	if yield > 0 && batch > 0 && u.set.Pressed != nil {
		u.set.Pressed(u.entry.info.ID, yield)
	}
}

// takeLoad returns the number of this node's batch items at the replica.
func (u *Use) takeLoad(load Load, now time.Time) int {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	others := max(0, float64(load.Running+load.Waiting-u.entry.open))
	previous := u.entry.othersAt(now)
	u.entry.others = previous + othersWeight*(others-previous)
	u.entry.reported = now
	return u.entry.batch
}

// First notes that the answer has begun: its prompt has been read.
func (u *Use) First() {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.first {
		return
	}
	u.first = true
	u.entry.pending -= u.tokens
}

// Heard notes that something came from the replica: it is busy, not silent.
func (u *Use) Heard(now time.Time) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	u.entry.heard = now
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

// End stops counting and takes in how the request ended.
func (u *Use) End(result Result, now time.Time) {
	if u.finish(result, now) && u.set.Ejected != nil {
		u.set.Ejected(u.entry.info, result)
	}
}

func (u *Use) finish(result Result, now time.Time) (ejected bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	if u.ended {
		return false
	}
	u.ended = true
	if !u.first {
		u.entry.pending -= u.tokens
	}
	u.entry.open--
	if u.batch {
		u.entry.batch--
	}
	ejected = u.entry.health.observe(result, now)
	if result == Refused {
		// A replica that refuses has its slots and its queue full.
		u.entry.others = max(u.entry.others, refusedFill*float64(u.entry.info.Slots))
		u.entry.reported = now.Add(refusedFade - othersFade)
	}
	u.set.wake()
	return ejected
}
