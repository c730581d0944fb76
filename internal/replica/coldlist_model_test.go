package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// listFleet is a coldFleet some nodes of which hear nothing of the list of replicas.
type listFleet struct {
	*coldFleet
	// cut are those nodes.
	cut []bool
}

// listLate bounds how late a node that is not cut off hears of a change: less than the
// age from which on its list is old.
const listLate = 800 * time.Millisecond

func newListFleet(t *rapid.T) *listFleet {
	f := &listFleet{coldFleet: newColdFleet(t)}
	f.cut = make([]bool, len(f.sets))
	return f
}

// pass lets time pass, while nodes that are not cut off hear that the list is current.
func (f *listFleet) pass(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		for node, set := range f.sets {
			if !f.cut[node] {
				set.SetListTime(f.now, f.now)
			}
		}
		f.run(coldModelStep)
	}
}

// cutOff cuts some nodes off from the list for a while.
func (f *listFleet) cutOff() {
	for node := range f.cut {
		f.cut[node] = rapid.Bool().Draw(f.t, "cut")
	}
	f.pass(time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "cut before ms")) * time.Millisecond)
}

// chill has the replicas turn cold in the midst of their work. What they get in the first
// second, before a list in force can tell, does not count.
func (f *listFleet) chill() {
	warm := f.now.Add(f.limit.Start)
	for node := range f.sets {
		if f.cut[node] {
			continue
		}
		after := time.Duration(rapid.Int64Range(0, int64(listLate)).Draw(f.t, "late"))
		f.tell(node, after, func(set *Set) { f.hearCold(set, warm) })
	}
	f.pass(maxListAge)
	for _, row := range f.rows {
		f.trueEnd[row.ID] = warm
	}
	f.pass(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "heals after ms")) * time.Millisecond)
	for node, set := range f.sets {
		if f.cut[node] {
			f.hearCold(set, warm)
			f.cut[node] = false
		}
	}
	f.pass(warm.Sub(f.now))
}

// hearCold gives a node the rows as they are.
func (f *listFleet) hearCold(set *Set, warm time.Time) {
	for _, row := range f.rows {
		row.ColdLeft = max(0, warm.Sub(f.now))
		set.put(row, f.now)
	}
}

// TestCold_HoldsOverNodesWithOldLists drives the sets of many nodes, some of which hear
// nothing of the list when replicas turn cold, and whose views of the members differ.
func TestCold_HoldsOverNodesWithOldLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newListFleet(t)
		f.pass(time.Second)
		if rapid.Bool().Draw(t, "members change") {
			f.changeViews()
		}
		f.cutOff()
		f.chill()
		f.check()
	})
}
