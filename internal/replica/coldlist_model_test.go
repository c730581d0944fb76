package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// listFleet is a coldFleet in which some nodes receive no updates of the list of replicas.
type listFleet struct {
	*coldFleet
	// noUpdates is set for the nodes that receive none.
	noUpdates []bool
}

// maxUpdateDelay is the maximum delay of a change for nodes that receive updates. It is less than
// maxListAge.
const maxUpdateDelay = 800 * time.Millisecond

func newListFleet(t *rapid.T) *listFleet {
	f := &listFleet{coldFleet: newColdFleet(t)}
	f.noUpdates = make([]bool, len(f.sets))
	return f
}

// advance advances the time. Nodes that receive updates know that their list is current.
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

// stopUpdates stops the updates of some nodes and advances the time.
func (f *listFleet) stopUpdates() {
	for node := range f.noUpdates {
		f.noUpdates[node] = rapid.Bool().Draw(f.t, "no updates")
	}
	f.advance(time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "no updates for ms")) * time.Millisecond)
}

// makeCold makes the running replicas cold. Requests of the first maxListAge, in which even a
// current list may not show it, are not counted. It returns when the replicas are warm.
func (f *listFleet) makeCold() (warmAt time.Time) {
	warmAt = f.now.Add(f.limit.Start)
	for node := range f.sets {
		if f.noUpdates[node] {
			continue
		}
		delay := time.Duration(rapid.Int64Range(0, int64(maxUpdateDelay)).Draw(f.t, "delay"))
		f.deliverAfter(node, delay, func(set *Set) { f.putCold(set, warmAt) })
	}
	f.advance(maxListAge)
	for _, info := range f.replicas {
		f.coldUntil[info.ID] = warmAt
	}
	f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "updates resume after ms")) * time.Millisecond)
	for node, set := range f.sets {
		if f.noUpdates[node] {
			f.putCold(set, warmAt)
			f.noUpdates[node] = false
		}
	}
	return warmAt
}

// putCold updates a node's list of replicas, which are cold until warmAt.
func (f *listFleet) putCold(set *Set, warmAt time.Time) {
	for _, info := range f.replicas {
		info.ColdLeft = max(0, warmAt.Sub(f.now))
		set.put(info, f.now)
	}
}

// All nodes together keep to the rate of replicas that become cold while some nodes receive no
// updates of the list and the views of the members differ.
func TestColdRate_HoldsWithOldLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newListFleet(t)
		f.advance(time.Second)
		if rapid.Bool().Draw(t, "members change") {
			f.changeMembership()
		}
		f.stopUpdates()
		warmAt := f.makeCold()
		f.advance(warmAt.Sub(f.now))
		f.check()
	})
}
