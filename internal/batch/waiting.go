package batch

import (
	"slices"
	"time"
)

// WaitReason is what a group of an active batch without a permanent result waits for.
type WaitReason uint8

const (
	// WaitTurn groups have not been submitted, because their tenant has its maximum of open groups.
	WaitTurn WaitReason = iota
	// WaitSubmit groups are due for submission to package jobs, which has not succeeded yet.
	WaitSubmit
	// WaitItems groups have items that are not listed; package jobs reports what these wait for.
	WaitItems
	// WaitResult groups have all items listed; their results are not permanent yet.
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

// groupOverdueAfter bounds the usual wait of a group for its submission or for permanent results:
// a few calls to the store and as many steps of the feeder.
const groupOverdueAfter = 10 * time.Second

// OverdueAfter returns how long a group may wait for this reason before it is overdue. It returns 0
// if the wait depends on other work and is never overdue.
func (w WaitReason) OverdueAfter() time.Duration {
	if w == WaitSubmit || w == WaitResult {
		return groupOverdueAfter
	}
	return 0
}

// GroupWait describes the wait of one group.
type GroupWait struct {
	Batch  string
	Group  int
	Reason WaitReason
	// Since is when the group began to wait for Reason.
	Since time.Time
	// Cause is the last error that kept the group from progressing; nil if there was none.
	Cause error
}

// WaitCount counts the groups fed by this node that wait for the same reason.
type WaitCount struct {
	Reason WaitReason
	Count  int
	Oldest time.Duration
}

// GroupWaits returns what the groups fed by this node wait for, as of the feeder's last step, the
// longest wait first.
func (f *Feeder) GroupWaits() []GroupWait {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.waits)
}

// WaitCounts returns one count for each WaitReason, in their order, of the groups fed by this node.
func (f *Feeder) WaitCounts(now time.Time) []WaitCount {
	counts := make([]WaitCount, waitReasons)
	for i := range counts {
		counts[i].Reason = WaitReason(i)
	}
	for _, group := range f.GroupWaits() {
		count := &counts[group.Reason]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(group.Since))
	}
	return counts
}

// Overdue returns the groups that have waited at least as long as OverdueAfter allows.
func (f *Feeder) Overdue(now time.Time) []GroupWait {
	return slices.DeleteFunc(f.GroupWaits(), func(group GroupWait) bool {
		return group.Reason.OverdueAfter() == 0 || now.Sub(group.Since) < group.Reason.OverdueAfter()
	})
}

// updateWaits records what all groups wait for at the end of a step.
func (f *Feeder) updateWaits(now time.Time) {
	var all []GroupWait
	for _, fed := range f.batches {
		all = append(all, f.batchWaits(fed, now)...)
	}
	slices.SortFunc(all, func(a, b GroupWait) int { return a.Since.Compare(b.Since) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits = all
}

// batchWaits returns what the groups of a batch wait for. Since changes only with the reason.
func (f *Feeder) batchWaits(fed *fedBatch, now time.Time) []GroupWait {
	if fed.waits == nil {
		fed.waits = map[int]GroupWait{}
	}
	waiting := make([]GroupWait, 0, fed.batch.Groups()-len(fed.done))
	for number := range fed.batch.Groups() {
		if _, done := fed.done[number]; done {
			delete(fed.waits, number)
			continue
		}
		reason, cause := f.waitReason(fed, number)
		group, known := fed.waits[number]
		if !known || group.Reason != reason {
			group = GroupWait{Batch: fed.batch.ID, Group: number, Reason: reason, Since: now}
		}
		group.Cause = cause
		fed.waits[number] = group
		waiting = append(waiting, group)
	}
	return waiting
}

// waitReason returns what a group without a result waits for, and the error that holds it up.
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
