package batch

import (
	"slices"
	"time"
)

// GroupWait says what a group of an active batch waits for that has no result for good.
type GroupWait uint8

const (
	// WaitTurn groups have not been begun, for as many of their tenant are open as may be.
	WaitTurn GroupWait = iota
	// WaitBegin groups are to be handed over to package jobs, which has not succeeded yet.
	WaitBegin
	// WaitItems groups have items that are not listed; package jobs accounts for these.
	WaitItems
	// WaitResult groups have all items listed and wait for their results to be permanent.
	WaitResult
	groupWaits
)

// String returns the name used in logs and metrics.
func (w GroupWait) String() string {
	names := [groupWaits]string{"turn", "begin", "items", "result"}
	if w >= groupWaits {
		return "unknown"
	}
	return names[w]
}

// groupBound is how long a group usually waits at most to be begun once it is its turn, or for
// its results to be permanent: a few calls to the store and as many looks.
const groupBound = 10 * time.Second

// Bound is how long a group usually waits for the same at most; 0 where that depends on the
// work before it.
func (w GroupWait) Bound() time.Duration {
	if w == WaitBegin || w == WaitResult {
		return groupBound
	}
	return 0
}

// WaitingGroup is what one group waits for.
type WaitingGroup struct {
	Batch string
	Group int
	For   GroupWait
	// Begun is since when it waits for this.
	Begun time.Time
	// Cause is what kept it from coming on; nil if the wait says all.
	Cause error
}

// GroupCount counts the groups fed by this node that wait for the same.
type GroupCount struct {
	For    GroupWait
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

// Account counts the groups fed by this node by what they wait for, in the order of GroupWait.
func (f *Feeder) Account(now time.Time) []GroupCount {
	counts := make([]GroupCount, groupWaits)
	for i := range counts {
		counts[i].For = GroupWait(i)
	}
	for _, one := range f.Waiting() {
		count := &counts[one.For]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(one.Begun))
	}
	return counts
}

// Overdue returns the groups that have waited for longer than they should.
func (f *Feeder) Overdue(now time.Time) []WaitingGroup {
	return slices.DeleteFunc(f.Waiting(), func(one WaitingGroup) bool {
		return one.For.Bound() == 0 || now.Sub(one.Begun) < one.For.Bound()
	})
}

// noteWaits notes what the groups wait for after a look.
func (f *Feeder) noteWaits(now time.Time) {
	var all []WaitingGroup
	for _, fed := range f.fed {
		all = append(all, f.waitsOf(fed, now)...)
	}
	slices.SortFunc(all, func(a, b WaitingGroup) int { return a.Begun.Compare(b.Begun) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = all
}

// waitsOf returns what the groups of a batch wait for.
func (f *Feeder) waitsOf(fed *feeding, now time.Time) []WaitingGroup {
	if fed.waits == nil {
		fed.waits = map[int]WaitingGroup{}
	}
	waiting := make([]WaitingGroup, 0, fed.batch.Groups()-len(fed.done))
	for number := range fed.batch.Groups() {
		if _, done := fed.done[number]; done {
			delete(fed.waits, number)
			continue
		}
		what, cause := f.waitOf(fed, number)
		one, known := fed.waits[number]
		if !known || one.For != what {
			one = WaitingGroup{Batch: fed.batch.ID, Group: number, For: what, Begun: now}
		}
		one.Cause = cause
		fed.waits[number] = one
		waiting = append(waiting, one)
	}
	return waiting
}

// waitOf returns what a group waits for that has no result, and what kept it from coming on.
func (f *Feeder) waitOf(fed *feeding, number int) (GroupWait, error) {
	entry := f.entry(fed, number)
	switch {
	case entry != nil && entry.Done():
		return WaitResult, fed.finishErr
	case entry != nil:
		return WaitItems, nil
	case number <= fed.next && fed.beginErr != nil:
		return WaitBegin, fed.beginErr
	default:
		return WaitTurn, nil
	}
}
