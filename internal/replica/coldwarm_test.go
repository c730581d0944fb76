package replica

import (
	"math/rand/v2"
	"slices"
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

// Requests that wait for a replica went on waiting for up to a second after the list was recent enough.
func TestCold_WaitingRequestsAreNotifiedOfRecentList(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	set.SetListTime(now, now)
	due := now.Add(3*time.Second + maxWarmReportDelay)
	set.SetListTime(due.Add(-time.Millisecond), due)
	if admitted(set, "cold", 5, due) != 1 {
		t.Fatal("the replica is not limited before it is known to be warm")
	}
	changed := set.Changed()
	set.SetListTime(due, due)
	select {
	case <-changed:
	default:
		t.Error("waiting requests are not notified")
	}
	if admitted(set, "cold", 5, due) != 5 {
		t.Error("the replica is limited although it did not report being cold again")
	}
}

// The log and the metric of cold replicas disagreed with what is sent to them.
func TestCold_LoggedAndCountedUntilReportedWarm(t *testing.T) {
	start := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, start)
	set.SetListTime(start, start)
	if changes := set.ColdChanges(start); len(changes) != 1 || !changes[0].Cold {
		t.Fatalf("changes at the start: %+v, want cold", changes)
	}
	end := start.Add(3100 * time.Millisecond)
	set.SetListTime(end, end)
	if changes := set.ColdChanges(end); len(changes) != 0 || set.CountCold(end) != 1 {
		t.Errorf("before the report: %d cold, changes %+v, want 1 and none", set.CountCold(end), changes)
	}
	// It becomes cold again before it has reported that it is warm, which is the same period.
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, ColdLeft: time.Second}, end)
	warm := end.Add(1200 * time.Millisecond)
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8}, warm)
	changes := set.ColdChanges(warm)
	if len(changes) != 1 || changes[0].Cold || changes[0].For != warm.Sub(start) || set.CountCold(warm) != 0 {
		t.Errorf("after the report: %d cold, changes %+v, want none and warm after %v", set.CountCold(warm), changes, warm.Sub(start))
	}
}

// A node that has no report yet got no grant from one that has it, which considers the replica as warm.
func TestGrantPresumed_UnlimitedOnceReportedWarm(t *testing.T) {
	start := time.Unix(1000, 0)
	end := start.Add(3100 * time.Millisecond)
	nodes := []string{"a", "b"}
	asking, asked := newColdSet("a", nodes, false, start), newColdSet("b", nodes, false, start)
	for _, set := range []*Set{asking, asked} {
		set.SetListTime(end, end)
	}
	asked.put(Info{ID: "cold", Pool: testPool, Slots: 8}, end)
	if got := granted(asking, "cold", end); got != 1 {
		t.Errorf("%d of 3 sends granted without a report, want 1", got)
	}
	senders := asking.ColdSenders(testPool, &Criteria{}, end)
	if len(senders) == 0 || !senders[0].Presumed {
		t.Fatalf("senders %+v, want one that is asked about a presumed replica", senders)
	}
	if got := granted(asked, "cold", end); got != 3 {
		t.Errorf("%d of 3 sends granted, want all", got)
	}
}

// warmDelay returns how long after its end a node limits a replica that reports each heartbeat, if calls
// for the list last for at least shortest and at most longest.
func warmDelay(random *rand.Rand, heartbeat, shortest, longest time.Duration) time.Duration {
	const cold = 3 * time.Second
	start := time.Unix(1000, 0)
	nextReport := start.Add(time.Duration(random.Int64N(int64(heartbeat))))
	set := newColdSet("a", []string{"a"}, false, start)
	requested, reported, listed := start, start, start
	answer := start.Add(shortest)
	for now := start; ; now = now.Add(time.Millisecond) {
		if !now.Before(nextReport) {
			reported, nextReport = now, nextReport.Add(heartbeat)
		}
		if news := reported.After(requested) && now.Sub(requested) >= shortest; news || !now.Before(answer) {
			if reported.After(listed) {
				set.put(Info{ID: "cold", Pool: testPool, Slots: 8, ColdLeft: max(0, cold-reported.Sub(start))}, now)
				listed = reported
			}
			set.SetListTime(requested, now)
			requested, answer = now, now.Add(shortest+time.Duration(random.Int64N(int64(longest-shortest))))
		}
		if set.confirmedWarm("cold", now) {
			return now.Sub(start.Add(cold))
		}
	}
}

// A replica was limited long after it was warm, although nothing was wrong.
func TestCold_LimitEndsWithNextHeartbeat(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for _, tc := range []struct{ shortest, longest time.Duration }{
		{5 * time.Millisecond, 300 * time.Millisecond},
		{400 * time.Millisecond, time.Second},
	} {
		random := rand.New(rand.NewPCG(1, 1))
		var delays []time.Duration
		for range 200 {
			delays = append(delays, warmDelay(random, heartbeat, tc.shortest, tc.longest))
		}
		slices.Sort(delays)
		t.Logf("calls of %v to %v: limited for %v (median), %v (longest) after the end", tc.shortest, tc.longest, delays[len(delays)/2], delays[len(delays)-1])
		if longest := delays[len(delays)-1]; longest > heartbeat+2*tc.longest {
			t.Errorf("calls of %v to %v: limited for %v after the end", tc.shortest, tc.longest, longest)
		}
	}
}

// A node that starts has the list before the configuration, knows no limit then, and granted sends to cold
// replicas without one.
func TestGrantPresumed_RefusedWithoutConfiguration(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet()
	set.Divide("a", nodesWithoutPlace("a", "b"))
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, ColdLeft: 3 * time.Second}, now)
	set.SetListTime(now, now)
	use := set.Begin("cold", RequestInfo{}, now)
	for range 4 {
		now = now.Add(recentContact / 2)
		set.SetListTime(now, now)
		use.Received(now)
	}
	if got := granted(set, "cold", now); got != 0 {
		t.Errorf("%d of 3 sends granted, want none", got)
	}
	if set.GrantEnded("cold", now) {
		t.Error("a send is granted to a node that considers the pool as ended")
	}
	set.SetColdLimits(map[string]ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
	if got := granted(set, "cold", now); got > 1 {
		t.Errorf("%d of 3 sends granted with the limit, want at most 1", got)
	}
}
