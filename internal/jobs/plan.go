package jobs

import "sort"

// Grant says how many items of a job may be in flight.
type Grant map[string]int

// PlanGrants shares out places among all open jobs, the earliest due first. It
// is a pure function of what every node learns from the same feed, so nodes
// that own different jobs keep to one bound together without a word between
// them; a view that lags moves a place from one node to another a moment late.
func PlanGrants(open []*Entry, places int) Grant {
	ordered := append([]*Entry(nil), open...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i].Job, ordered[j].Job
		if a.Due != b.Due {
			return a.Due < b.Due
		}
		return a.ID < b.ID
	})
	granted := Grant{}
	for _, entry := range ordered {
		unlisted := len(entry.Job.Items) - len(entry.Progress.Listed)
		share := min(unlisted, max(0, places))
		granted[entry.Job.ID] = share
		places -= share
	}
	return granted
}
