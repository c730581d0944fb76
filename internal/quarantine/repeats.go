package quarantine

import (
	"sync"
	"time"
)

const (
	// repeatedRuns is how many runs of a work must end well here until others are told: most
	// works come once, and nobody needs to know them.
	repeatedRuns = 2
	// lastingRuns is how many runs of a work must end well here until a row tells it to whoever
	// starts later: one call at the store for a work that all nodes are asked for.
	lastingRuns = 4
	// tellAgain is the time after which others are told once more of a work that still ends
	// well: those that have started meanwhile do not know it.
	tellAgain = 10 * time.Second
	// maxRepeats bounds the works that are remembered, twice.
	maxRepeats = 2000
)

// repeats remembers which works end well at this node again and again. The zero value is ready
// to use. It is safe for concurrent use.
type repeats struct {
	mu            sync.Mutex
	newest, older map[Work]repeat
}

// repeat is what is remembered of a work.
type repeat struct {
	runs int
	// last is when a run last ended well, told when others were last told, kept when it did by
	// the row that was known last.
	last, told, kept time.Time
}

// note takes in a run that ended well.
func (r *repeats) note(work Work, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.newest[work]
	if !ok {
		known = r.older[work]
		delete(r.older, work)
	}
	known.runs++
	known.last = at
	if r.newest == nil || !ok && len(r.newest) >= maxRepeats {
		r.newest, r.older = make(map[Work]repeat, maxRepeats/8), r.newest
	}
	r.newest[work] = known
}

// due returns up to so many works that others are to be told of now.
func (r *repeats) due(now time.Time, limit int) []Clearing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.choose(limit, func(_ Work, known *repeat) bool {
		if !known.due(now) {
			return false
		}
		known.told = now
		return true
	})
}

// lasting returns up to so many works that end well often, and of which no row is known to tell
// that is younger than an age.
func (r *repeats) lasting(now time.Time, age time.Duration, limit int, rowAt func(Work) time.Time) []Clearing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.choose(limit, func(work Work, known *repeat) bool {
		if known.runs < lastingRuns || now.Sub(known.kept) < age {
			return false
		}
		known.kept = rowAt(work)
		return now.Sub(known.kept) >= age
	})
}

// choose returns the last good ends of up to so many works that are wanted, and keeps what wants
// changes of what is remembered of each. The caller holds mu.
func (r *repeats) choose(limit int, wants func(Work, *repeat) bool) []Clearing {
	var chosen []Clearing
	for _, works := range []map[Work]repeat{r.newest, r.older} {
		for work, known := range works {
			if len(chosen) == limit {
				return chosen
			}
			wanted := wants(work, &known)
			works[work] = known
			if wanted {
				chosen = append(chosen, Clearing{Work: work, At: known.last})
			}
		}
	}
	return chosen
}

func (r *repeat) due(now time.Time) bool {
	return r.runs >= repeatedRuns && r.last.After(r.told) && now.Sub(r.told) >= tellAgain
}
