package jobs

import (
	"sort"
	"time"
)

// Grant says how many items of a job may be in flight, and whether they are
// urgent, so that they may fill replicas further.
type Grant struct {
	Items  int
	Urgent bool
}

// PlanInput is what a plan is made of.
type PlanInput struct {
	Open []*Entry
	// Now is the store's clock.
	Now time.Duration
	// Places is the number of items that may be in flight, UrgentPlaces the
	// number that may be if some would be late otherwise.
	Places       int
	UrgentPlaces int
	// ItemTime is how long an item usually takes.
	ItemTime time.Duration
}

const (
	// urgentMargin is how much longer than estimated a job may take before it
	// counts as urgent.
	urgentMargin = 1.4
	// hopelessSlack is the time to a job's due time below which it is too late
	// for items that have not begun; they come after those that can be in time.
	hopelessSlack = 2 * time.Second
)

// PlanGrants shares out places among all open jobs, the earliest due first. It
// is a pure function of what every node learns from the same feed, so nodes
// that own different jobs keep to one bound together without a word between
// them; a view that lags moves a place from one node to another a moment late.
func PlanGrants(input PlanInput) map[string]Grant {
	ordered := append([]*Entry(nil), input.Open...)
	sort.Slice(ordered, func(i, j int) bool { return before(ordered[i].Job, ordered[j].Job, input.Now) })
	granted := make(map[string]Grant, len(ordered))
	used, ahead := 0, 0
	for _, entry := range ordered {
		unlisted := len(entry.Job.Items) - len(entry.Progress.Listed)
		slack := entry.Job.Due - input.Now
		urgent := slack >= hopelessSlack && slack < input.expected(ahead+unlisted)
		ahead += unlisted
		limit := input.Places
		if urgent {
			limit = max(limit, input.UrgentPlaces)
		}
		share := min(unlisted, max(0, limit-used))
		granted[entry.Job.ID] = Grant{Items: share, Urgent: urgent}
		used += share
	}
	return granted
}

// expected estimates the time until so many items are done, if no more than
// Places are in flight.
func (p *PlanInput) expected(items int) time.Duration {
	rounds := 1 + float64(items)/float64(max(1, p.Places))
	return time.Duration(urgentMargin * rounds * float64(p.ItemTime))
}

// before orders jobs: those that can be in time first, then by rank.
func before(a, b *Job, now time.Duration) bool {
	lateA, lateB := a.Due-now < hopelessSlack, b.Due-now < hopelessSlack
	if lateA != lateB {
		return lateB
	}
	if a.rank() != b.rank() {
		return a.rank() < b.rank()
	}
	return a.ID < b.ID
}
