package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A replica that becomes cold again before it is warm got all waiting requests at the end of its first
// cold period, from nodes whose list did not show the second one yet.
func TestCold_LimitedUntilReportedWarm(t *testing.T) {
	start := time.Unix(1000, 0)
	end := start.Add(3 * time.Second)
	for _, tc := range []struct {
		name string
		// listed is the list time, reported whether the list has a report that the replica is warm.
		listed   time.Time
		reported bool
		at       time.Time
		want     int
	}{
		{"list of before the end", end.Add(-900 * time.Millisecond), false, end.Add(50 * time.Millisecond), 1},
		{"list of after the end without a report", end.Add(100 * time.Millisecond), false, end.Add(200 * time.Millisecond), 1},
		{"report", end.Add(100 * time.Millisecond), true, end.Add(200 * time.Millisecond), 5},
		{"report in an old list", end.Add(100 * time.Millisecond), true, end.Add(2 * time.Second), 1},
		{"no report for longer than between two", end.Add(1500 * time.Millisecond), false, end.Add(1600 * time.Millisecond), 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := newColdSet("a", []string{"a"}, false, start)
			set.SetListTime(start, start)
			if tc.reported {
				set.put(Info{ID: "cold", Pool: testPool, Slots: 8}, tc.listed)
			}
			set.SetListTime(tc.listed, tc.listed)
			if got := admitted(set, "cold", 5, tc.at); got != tc.want {
				t.Errorf("admitted %d of 5, want %d", got, tc.want)
			}
		})
	}
}

// coldAgain makes the replicas, which are still cold, cold for longer. All requests are counted, because
// nodes know that the replicas were cold. Some nodes receive no updates of the list for a while.
func (f *listFleet) coldAgain() {
	warmAt := f.now.Add(f.limit.Start)
	for _, info := range f.replicas {
		f.coldUntil[info.ID] = warmAt
	}
	for node := range f.sets {
		if f.noUpdates[node] = rapid.Bool().Draw(f.t, "no updates at the end"); f.noUpdates[node] {
			continue
		}
		delay := time.Duration(rapid.Int64Range(0, int64(maxUpdateDelay)).Draw(f.t, "delay"))
		f.deliverAfter(node, delay, func(set *Set) { f.putCold(set, warmAt) })
	}
	f.advance(warmAt.Sub(f.now))
}

// All nodes together keep to the rate of replicas that become cold again shortly before they are warm,
// also while some nodes receive no updates of the list.
func TestColdRate_HoldsWhenColdAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newListFleet(t)
		f.advance(time.Second)
		f.stopUpdates()
		warmAt := f.makeCold()
		left := time.Duration(rapid.IntRange(10, 400).Draw(t, "cold again before the end by ms")) * time.Millisecond
		f.advance(max(0, warmAt.Add(-left).Sub(f.now)))
		f.coldAgain()
		f.check()
	})
}
