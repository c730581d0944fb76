package quarantine

import (
	"sync"
	"time"
)

const (
	// broadcastAfter is how many runs of a work must end well here until others are told: most
	// works come once, and nobody needs to know them.
	broadcastAfter = 2
	// persistAfter is how many runs of a work must end well here until a row tells it to whoever
	// starts later: one call at the store for a work that all nodes are asked for.
	persistAfter = 4
	// rebroadcastInterval is the time after which others are told once more of a work that still ends
	// well: those that have started meanwhile do not know it.
	rebroadcastInterval = 10 * time.Second
	// maxFrequent bounds the works that are remembered, twice.
	maxFrequent = 2000
)

// frequentWork remembers which works end well at this node again and again. The zero value is ready
// to use. It is safe for concurrent use.
type frequentWork struct {
	mu            sync.Mutex
	newest, older map[Work]workStats
}

// workStats is what is remembered of a work.
type workStats struct {
	runs int
	// lastSuccess is when a run lastSuccess ended well, broadcastAt when others were lastSuccess broadcastAt, persistedAt when it did by
	// the row that was known lastSuccess.
	lastSuccess, broadcastAt, persistedAt time.Time
}

// record takes in a run that ended well.
func (f *frequentWork) record(work Work, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats, ok := f.newest[work]
	if !ok {
		stats = f.older[work]
		delete(f.older, work)
	}
	stats.runs++
	stats.lastSuccess = at
	if f.newest == nil || !ok && len(f.newest) >= maxFrequent {
		f.newest, f.older = make(map[Work]workStats, maxFrequent/8), f.newest
	}
	f.newest[work] = stats
}

// due returns up to so many works that others are to be told of now.
func (f *frequentWork) due(now time.Time, limit int) []Clearing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selectWorks(limit, func(_ Work, stats *workStats) bool {
		if !stats.due(now) {
			return false
		}
		stats.broadcastAt = now
		return true
	})
}

// duePersist returns up to so many works that end well often, and of which no row is known to tell
// that is younger than an age.
func (f *frequentWork) duePersist(now time.Time, age time.Duration, limit int, rowAt func(Work) time.Time) []Clearing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selectWorks(limit, func(work Work, stats *workStats) bool {
		if stats.runs < persistAfter || now.Sub(stats.persistedAt) < age {
			return false
		}
		stats.persistedAt = rowAt(work)
		return now.Sub(stats.persistedAt) >= age
	})
}

// selectWorks returns the last good ends of up to so many works that are wanted, and keeps what wants
// changes of what is remembered of each. The caller holds mu.
func (f *frequentWork) selectWorks(limit int, match func(Work, *workStats) bool) []Clearing {
	var selected []Clearing
	for _, works := range []map[Work]workStats{f.newest, f.older} {
		for work, stats := range works {
			if len(selected) == limit {
				return selected
			}
			matched := match(work, &stats)
			works[work] = stats
			if matched {
				selected = append(selected, Clearing{Work: work, At: stats.lastSuccess})
			}
		}
	}
	return selected
}

func (s *workStats) due(now time.Time) bool {
	return s.runs >= broadcastAfter && s.lastSuccess.After(s.broadcastAt) && now.Sub(s.broadcastAt) >= rebroadcastInterval
}
