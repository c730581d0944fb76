package batch

import "time"

// Candidate is a job that has open chunks, as the order sees it.
type Candidate struct {
	Job      string
	Tenant   string
	Weight   float64
	Deadline time.Time
	// Remaining is the number of items not done.
	Remaining int
}

// Order decides which job is served next: jobs in danger of missing their
// deadline first, the earliest deadline before others; else by start-time fair
// queueing (Goyal, Vin, Cheng, 1996) between tenants and, within a tenant,
// between jobs. It is not safe for concurrent use.
type Order struct {
	virtual float64
	tenants map[string]float64
	jobs    map[string]float64
}

// NewOrder returns an order that has served nothing.
func NewOrder() *Order {
	return &Order{tenants: map[string]float64{}, jobs: map[string]float64{}}
}

// urgencyMargin is how much longer than estimated the rest of a job may take
// before it counts as urgent.
const urgencyMargin = 2.0

// Next returns the index of the candidate to serve, or -1 if there is none.
// rate is the observed rate in items a second; zero if unknown.
func (o *Order) Next(candidates []Candidate, now time.Time, rate float64) int {
	best := -1
	for i := range candidates {
		if best < 0 || o.before(&candidates[i], &candidates[best], now, rate) {
			best = i
		}
	}
	return best
}

func (o *Order) before(a, b *Candidate, now time.Time, rate float64) bool {
	urgentA, urgentB := urgent(a, now, rate), urgent(b, now, rate)
	if urgentA != urgentB {
		return urgentA
	}
	if urgentA && !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if a.Tenant != b.Tenant {
		tagA, tagB := o.tag(o.tenants, a.Tenant), o.tag(o.tenants, b.Tenant)
		if tagA != tagB {
			return tagA < tagB
		}
	}
	tagA, tagB := o.tag(o.jobs, a.Job), o.tag(o.jobs, b.Job)
	if tagA != tagB {
		return tagA < tagB
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Job < b.Job
}

func urgent(candidate *Candidate, now time.Time, rate float64) bool {
	if rate <= 0 {
		return false
	}
	needed := time.Duration(float64(candidate.Remaining) / rate * urgencyMargin * float64(time.Second))
	return candidate.Deadline.Sub(now) < needed
}

// tag is the virtual start time of the next service; newcomers start now.
func (o *Order) tag(tags map[string]float64, key string) float64 {
	if tag, ok := tags[key]; ok {
		return max(tag, o.virtual-maxCredit)
	}
	return o.virtual
}

// maxCredit bounds, in items, how far a flow that had nothing to run may be
// preferred when it comes back.
const maxCredit = 4 * maxChunk

// Served accounts for items handed to a job.
func (o *Order) Served(candidate *Candidate, items int) {
	weight := candidate.Weight
	if weight <= 0 {
		weight = 1
	}
	tenantTag := o.tag(o.tenants, candidate.Tenant)
	o.virtual = max(o.virtual, tenantTag)
	o.tenants[candidate.Tenant] = tenantTag + float64(items)/weight
	o.jobs[candidate.Job] = o.tag(o.jobs, candidate.Job) + float64(items)
}

// Forget drops a job that has ended.
func (o *Order) Forget(job string) { delete(o.jobs, job) }
