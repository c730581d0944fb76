package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// listFleet is a coldFleet some nodes of which hear nothing of the list of replicas.
type listFleet struct {
	*coldFleet
	// noUpdates are those nodes.
	noUpdates []bool
}

// maxUpdateDelay bounds how late a node that is not cut off hears of a change: less than the
// age from which on its list is old.
const maxUpdateDelay = 800 * time.Millisecond

func newListFleet(t *rapid.T) *listFleet {
	f := &listFleet{coldFleet: newColdFleet(t)}
	f.noUpdates = make([]bool, len(f.sets))
	return f
}

// advance lets time advance, while nodes that are not cut off hear that the list is current.
func (f *listFleet) advance(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		for node, set := range f.sets {
			if !f.noUpdates[node] {
				set.SetListTime(f.now, f.now)
			}
		}
		f.run(coldModelStep)
	}
}

// stopUpdates cuts some nodes off from the list for a while.
func (f *listFleet) stopUpdates() {
	for node := range f.noUpdates {
		f.noUpdates[node] = rapid.Bool().Draw(f.t, "cut")
	}
	f.advance(time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "cut before ms")) * time.Millisecond)
}

// makeCold has the replicas turn cold in the midst of their work. What they get in the first
// second, before a list in force can tell, does not count.
func (f *listFleet) makeCold() {
	warmAt := f.now.Add(f.limit.Start)
	for node := range f.sets {
		if f.noUpdates[node] {
			continue
		}
		delay := time.Duration(rapid.Int64Range(0, int64(maxUpdateDelay)).Draw(f.t, "late"))
		f.deliverAfter(node, delay, func(set *Set) { f.putCold(set, warmAt) })
	}
	f.advance(maxListAge)
	for _, row := range f.replicas {
		f.coldUntil[row.ID] = warmAt
	}
	f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "heals after ms")) * time.Millisecond)
	for node, set := range f.sets {
		if f.noUpdates[node] {
			f.putCold(set, warmAt)
			f.noUpdates[node] = false
		}
	}
	f.advance(warmAt.Sub(f.now))
}

// putCold gives a node the rows as they are.
func (f *listFleet) putCold(set *Set, warmAt time.Time) {
	for _, info := range f.replicas {
		info.ColdLeft = max(0, warmAt.Sub(f.now))
		set.put(info, f.now)
	}
}

// TestColdRate_HoldsWithOldLists drives the sets of many nodes, some of which hear
// nothing of the list when replicas turn cold, and whose views of the members differ.
func TestColdRate_HoldsWithOldLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newListFleet(t)
		f.advance(time.Second)
		if rapid.Bool().Draw(t, "members change") {
			f.changeMembership()
		}
		f.stopUpdates()
		f.makeCold()
		f.check()
	})
}
