package quarantine

import "time"

// maxRecent bounds the works that are remembered to have ended well, twice: some minutes of
// a node's requests.
const maxRecent = 4000

// recentTimes remembers times of works, of the newest maxWell at least. The zero value is ready to
// use.
type recentTimes struct{ newest, older map[Work]time.Time }

func (r *recentTimes) record(work Work, at time.Time) {
	if !at.After(r.at(work)) {
		return
	}
	if r.newest == nil || len(r.newest) >= maxRecent {
		r.newest, r.older = make(map[Work]time.Time, maxRecent/8), r.newest
	}
	r.newest[work] = at
}

// at returns the time of a work, zero if none is remembered.
func (r *recentTimes) at(work Work) time.Time {
	if at, ok := r.newest[work]; ok {
		return at
	}
	return r.older[work]
}
