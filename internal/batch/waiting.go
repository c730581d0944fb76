package batch

import (
	"slices"
	"time"
)

// WaitReason says what a group of an active batch waits for that has no result for good.
type WaitReason uint8

const (
	// WaitTurn groups have not been begun, for as many of their tenant are open as may be.
	WaitTurn WaitReason = iota
	// WaitSubmit groups are to be handed over to package jobs, which has not succeeded yet.
	WaitSubmit
	// WaitItems groups have items that are not listed; package jobs accounts for these.
	WaitItems
	// WaitResult groups have all items listed and wait for their results to be permanent.
	WaitResult
	waitReasons
)

// String returns the name used in logs and metrics.
func (w WaitReason) String() string {
	names := [waitReasons]string{"turn", "begin", "items", "result"}
	if w >= waitReasons {
		return "unknown"
	}
	return names[w]
}

// groupOverdueAfter is how long a group usually waits at most to be begun once it is its turn, or for
// its results to be permanent: a few calls to the store and as many looks.
const groupOverdueAfter = 10 * time.Second

// OverdueAfter is how long a group usually waits for the same at most; 0 where that depends on the
// work before it.
func (w WaitReason) OverdueAfter() time.Duration {
	if w == WaitSubmit || w == WaitResult {
		return groupOverdueAfter
	}
	return 0
}

// WaitingGroup is what one group waits for.
type WaitingGroup struct {
	Batch  string
	Group  int
	Reason WaitReason
	// Since is since when it waits for this.
	Since time.Time
	// Cause is what kept it from coming on; nil if the wait says all.
	Cause error
}

// GroupCount counts the groups fed by this node that wait for the same.
type GroupCount struct {
	Reason WaitReason
	Count  int
	Oldest time.Duration
}

// Waiting returns what the groups fed by this node wait for, those first that have waited
// longest, as of its last look.
func (f *Feeder) Waiting() []WaitingGroup {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.waiting)
}

// WaitCounts counts the groups fed by this node by what they wait for, in the order of GroupWait.
func (f *Feeder) WaitCounts(now time.Time) []GroupCount {
	counts := make([]GroupCount, waitReasons)
	for i := range counts {
		counts[i].Reason = WaitReason(i)
	}
	for _, group := range f.Waiting() {
		count := &counts[group.Reason]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(group.Since))
	}
	return counts
}

// Overdue returns the groups that have waited for longer than they should.
func (f *Feeder) Overdue(now time.Time) []WaitingGroup {
	return slices.DeleteFunc(f.Waiting(), func(group WaitingGroup) bool {
		return group.Reason.OverdueAfter() == 0 || now.Sub(group.Since) < group.Reason.OverdueAfter()
	})
}

// updateWaiting notes what the groups wait for after a look.
func (f *Feeder) updateWaiting(now time.Time) {
	var all []WaitingGroup
	for _, fed := range f.batches {
		all = append(all, f.waitingGroups(fed, now)...)
	}
	slices.SortFunc(all, func(a, b WaitingGroup) int { return a.Since.Compare(b.Since) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = all
}

// waitingGroups returns what the groups of a batch wait for.
func (f *Feeder) waitingGroups(fed *fedBatch, now time.Time) []WaitingGroup {
	if fed.waits == nil {
		fed.waits = map[int]WaitingGroup{}
	}
	waiting := make([]WaitingGroup, 0, fed.batch.Groups()-len(fed.done))
	for number := range fed.batch.Groups() {
		if _, done := fed.done[number]; done {
			delete(fed.waits, number)
			continue
		}
		reason, cause := f.waitReason(fed, number)
		group, known := fed.waits[number]
		if !known || group.Reason != reason {
			group = WaitingGroup{Batch: fed.batch.ID, Group: number, Reason: reason, Since: now}
		}
		group.Cause = cause
		fed.waits[number] = group
		waiting = append(waiting, group)
	}
	return waiting
}

// waitReason returns what a group waits for that has no result, and what kept it from coming on.
func (f *Feeder) waitReason(fed *fedBatch, number int) (WaitReason, error) {
	entry := f.entry(fed, number)
	switch {
	case entry != nil && entry.Done():
		return WaitResult, fed.finishErr
	case entry != nil:
		return WaitItems, nil
	case number <= fed.next && fed.submitErr != nil:
		return WaitSubmit, fed.submitErr
	default:
		return WaitTurn, nil
	}
}
