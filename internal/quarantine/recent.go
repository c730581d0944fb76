package quarantine

import "time"

// maxRecent bounds each of the two maps of recentTimes; together they cover some minutes of a
// node's requests.
const maxRecent = 4000

// recentTimes holds the latest time of each work, for at least the newest maxRecent works. When
// newest is full it replaces older. The zero value is ready to use.
type recentTimes struct{ newest, older map[Work]time.Time }

// record sets the time of work, unless a later one is known.
func (r *recentTimes) record(work Work, at time.Time) {
	if !at.After(r.at(work)) {
		return
	}
	if r.newest == nil || len(r.newest) >= maxRecent {
		r.newest, r.older = make(map[Work]time.Time, maxRecent/8), r.newest
	}
	r.newest[work] = at
}

// at returns the time of work, or zero if it is not known.
func (r *recentTimes) at(work Work) time.Time {
	if at, ok := r.newest[work]; ok {
		return at
	}
	return r.older[work]
}
