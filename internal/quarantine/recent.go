package quarantine

import "time"

// maxWell bounds the works that are remembered to have ended well, twice: some minutes of
// a node's requests.
const maxWell = 4000

// recent remembers times of works, of the newest maxWell at least. The zero value is ready to
// use.
type recent struct{ newest, older map[Work]time.Time }

func (r *recent) note(work Work, at time.Time) {
	if !at.After(r.at(work)) {
		return
	}
	if r.newest == nil || len(r.newest) >= maxWell {
		r.newest, r.older = make(map[Work]time.Time, maxWell/8), r.newest
	}
	r.newest[work] = at
}

// at returns the time of a work, zero if none is remembered.
func (r *recent) at(work Work) time.Time {
	if at, ok := r.newest[work]; ok {
		return at
	}
	return r.older[work]
}
