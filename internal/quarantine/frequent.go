package quarantine

import (
	"sync"
	"time"
)

const (
	// broadcastAfter is the number of successful runs after which peers are informed; most work
	// runs only once and need not be known elsewhere.
	broadcastAfter = 2
	// persistAfter is the number of successful runs after which the success is written to the
	// table, for nodes that start later. Work that all nodes run costs one write, since nodes skip
	// work with a recent row.
	persistAfter = 4
	// rebroadcastInterval is the time after which peers are informed again about work that still
	// succeeds, for nodes that started in the meantime.
	rebroadcastInterval = 10 * time.Second
	// maxFrequent bounds each of the two maps of frequentWork.
	maxFrequent = 2000
)

// frequentWork tracks work that succeeds repeatedly on this node. When newest is full it replaces
// older. The zero value is ready to use. It is safe for concurrent use.
type frequentWork struct {
	mu            sync.Mutex
	newest, older map[Work]workStats
}

// workStats holds the successes of one work.
type workStats struct {
	runs int
	// broadcastAt is when peers were last informed, persistedAt the time in the last known clearing
	// row of the work.
	lastSuccess, broadcastAt, persistedAt time.Time
}

// record counts a successful run.
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

// due returns the last successes of up to limit works that peers are due to be informed about, and
// marks them as broadcast.
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

// duePersist returns the last successes of up to limit works that succeed often and whose row,
// according to rowAt, is missing or at least age old.
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

// selectWorks returns the last successes of up to limit works that match reports true for. Changes
// that match makes to the stats are stored. The caller holds mu.
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

// due reports whether peers are due to be informed about the work.
func (s *workStats) due(now time.Time) bool {
	return s.runs >= broadcastAfter && s.lastSuccess.After(s.broadcastAt) && now.Sub(s.broadcastAt) >= rebroadcastInterval
}
