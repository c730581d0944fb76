package replica

import (
	"testing"
	"time"
)

// Starts of a replica, the later ones not the larger: clocks step back.
const (
	firstBorn  int64 = 1_700_000_060_000
	secondBorn int64 = 1_700_000_000_000
	thirdBorn  int64 = 1_700_000_060_001
)

// listed is replica r00 of newSet at one of its starts.
func listed(born int64) Info {
	return Info{ID: "r00", Pool: testPool, Address: "r00", Zone: "z", Slots: 4, Born: born}
}

// startedSet returns a set whose replica r00 says when it started.
func startedSet(count int, now time.Time) *Set {
	set := newSet(count)
	set.put(listed(firstBorn), now)
	return set
}

// seen returns a replica as choices see it.
func seen(t *testing.T, set *Set, id string, now time.Time) Candidate {
	t.Helper()
	for _, one := range set.List(now) {
		if one.ID == id {
			return one
		}
	}
	t.Fatalf("%s is not listed", id)
	return Candidate{}
}

// busy sends an item and two requests to r00, and has it tell its load.
func busy(set *Set, now time.Time) []*Use {
	uses := []*Use{
		set.Begin("r00", Ask{Tokens: 100, Batch: true}, now),
		set.Begin("r00", Ask{Tokens: 100}, now),
		set.Begin("r00", Ask{Tokens: 100}, now),
	}
	uses[1].Heard(now)
	uses[1].Load(Load{Running: 4, Waiting: 9, Slots: 4}, now)
	return uses
}

func TestRestart_CountsStartAnew(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	busy(set, now)
	set.put(listed(secondBorn), now)
	known := seen(t, set, "r00", now)
	if known.Open != 0 || known.Batch != 0 || known.PendingTokens != 0 {
		t.Errorf("requests of the start before count: %+v", known)
	}
	if known.Others != 0 || known.Waiting != 0 || known.Age >= 0 || known.Fresh {
		t.Errorf("the load of the start before counts: %+v", known)
	}
	if known.Share != 4 {
		t.Errorf("%d of its slots are this node's, not 4", known.Share)
	}
}

// TestRestart_TheSameStartKeepsWhatIsKnown: entries also change for other reasons, and entries
// of other writers may lack fields.
func TestRestart_TheSameStartKeepsWhatIsKnown(t *testing.T) {
	now := time.Now()
	set := newSet(2)
	busy(set, now)
	leaving := listed(firstBorn)
	leaving.Leaving = true
	for _, info := range []Info{listed(0), listed(firstBorn), listed(0), leaving, listed(firstBorn)} {
		set.put(info, now)
		if known := seen(t, set, "r00", now); known.Open != 3 || known.Batch != 1 || known.Others == 0 {
			t.Errorf("after %+v the requests there are %+v", info, known)
		}
	}
	set.put(listed(0), now)
	set.put(listed(secondBorn), now)
	if known := seen(t, set, "r00", now); known.Open != 0 {
		t.Error("an entry that does not say has its start forgotten")
	}
}

func TestRestart_AnotherAddressIsAnotherStart(t *testing.T) {
	now := time.Now()
	set := newSet(2)
	busy(set, now)
	moved := listed(0)
	moved.Address = "elsewhere"
	set.put(moved, now)
	if known := seen(t, set, "r00", now); known.Open != 0 || known.Address != "elsewhere" {
		t.Errorf("a replica at another address has the requests of the one before: %+v", known)
	}
}

// TestRestart_EndsAtTheStartBeforeSayNothing: what was sent to the start before may end long
// after the next one is known, and then badly.
func TestRestart_EndsAtTheStartBeforeSayNothing(t *testing.T) {
	for _, result := range []Result{Succeeded, Failed, Refused, Unreachable, Abandoned} {
		now := time.Now()
		set := startedSet(2, now)
		set.Ejected = func(info Info, result Result) { t.Errorf("%s was ejected: %v", info.ID, result) }
		uses := busy(set, now)
		uses[0].MarkPreempted()
		set.put(listed(secondBorn), now)
		next := set.Begin("r00", Ask{Tokens: 10}, now)
		for _, use := range uses {
			use.First(now)
			use.Chill(time.Minute, now)
			use.End(result, now)
		}
		known := seen(t, set, "r00", now)
		if known.Open != 1 || known.Batch != 0 || known.PendingTokens != 10 {
			t.Errorf("after %v the requests there are %+v", result, known)
		}
		if known.Ejected || known.Failing != 0 || known.Others != 0 || known.Cold.Left != 0 {
			t.Errorf("%v at the start before counts: %+v", result, known)
		}
		next.End(Succeeded, now)
		if known := seen(t, set, "r00", now); known.Open != 0 || known.PendingTokens != 0 {
			t.Errorf("after all ended the requests there are %+v", known)
		}
	}
}

func TestRestart_LoadOfTheStartBeforeHasNothingGiveWay(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	late := set.Begin("r00", Ask{}, now)
	set.put(listed(secondBorn), now)
	for range 3 {
		set.Begin("r00", Ask{Batch: true}, now)
	}
	set.Pressed = func(id string, items int, _ Pressure) { t.Errorf("%d items give way at %s", items, id) }
	late.Load(Load{Running: 4, Waiting: 50, Slots: 4}, now)
	if known := seen(t, set, "r00", now); known.Waiting != 0 || known.Others != 0 {
		t.Errorf("the load of the start before counts: %+v", known)
	}
}

func TestRestart_EjectionsEnd(t *testing.T) {
	now := time.Now()
	set := startedSet(4, now)
	set.Begin("r00", Ask{}, now).End(Unreachable, now)
	if !out(set, "r00", now) {
		t.Fatal("a replica that takes no connection is not left out")
	}
	set.put(listed(secondBorn), now)
	if out(set, "r00", now) {
		t.Error("a replica that has started again is left out for the start before")
	}
	// The first failure of the new one does not count as the next of a row.
	set.Begin("r00", Ask{}, now).End(Failed, now)
	if out(set, "r00", now) {
		t.Error("one failure ejects a replica that has started again")
	}
}

func TestRestart_SharedEjectionsEnd(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	set.put(listed(firstBorn), now)
	set.TakeFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 5, 0), now)
	set.TakeFailureReports(Reporter{Node: "n2", Zone: "b"}, failureOf("r00", 5, 0), now)
	if !out(set, "r00", now) {
		t.Fatal("two nodes' word does not leave a replica out")
	}
	set.put(listed(secondBorn), now)
	if out(set, "r00", now) {
		t.Fatal("a replica that has started again is left out for the start before")
	}
	later := now.Add(100 * time.Millisecond)
	set.TakeFailureReports(Reporter{Node: "n1", Zone: "a"}, []FailureReport{{Replica: Key("r00"), Failures: 1, Age: 10 * time.Millisecond}}, later)
	if out(set, "r00", later) {
		t.Error("a replica that has started again is on probation")
	}
}

// TestRestart_WordsOfOlderProgramsAboutTheStartBefore: they do not say which start they are
// about, but how long ago it failed.
func TestRestart_WordsOfOlderProgramsAboutTheStartBefore(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	set.put(listed(firstBorn), now)
	set.put(listed(secondBorn), now)
	later := now.Add(100 * time.Millisecond)
	tell := func(age time.Duration) {
		for _, node := range []string{"n1", "n2", "n3"} {
			set.TakeFailureReports(Reporter{Node: node, Zone: node}, []FailureReport{{Replica: Key("r00"), Failures: 5, Age: age}}, later)
		}
	}
	tell(150 * time.Millisecond)
	if out(set, "r00", later) {
		t.Error("words about failures before the start leave the replica out")
	}
	tell(50 * time.Millisecond)
	if !out(set, "r00", later) {
		t.Error("words about failures after the start are passed over")
	}
}

func TestRestart_IsColdAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	set := coldSet("a", []string{"a"}, false, now)
	info := Info{ID: "cold", Pool: testPool, Slots: 8, Born: firstBorn, ColdLeft: 3 * time.Second}
	set.put(info, now)
	warm := now.Add(4 * time.Second)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Fatal("a replica is bounded that is warm")
	}
	info.Born, info.ColdLeft = secondBorn, 2*time.Second
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 1 {
		t.Errorf("a replica that has started again got %d requests at once", got)
	}
	// The next one starts while this one is cold: the part of the rate that was used is.
	info.Born = thirdBorn
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 0 {
		t.Errorf("a replica that has started twice got %d requests more at once", got)
	}
	// One that started long ago, though it is noticed now, says that it is warm.
	info.Born, info.ColdLeft = firstBorn, 0
	set.put(info, warm)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Error("a replica that is noticed late to have started again stays cold for the start before")
	}
}

// TestRestart_IsFedAsIfColdUntilTheListTells: a replica that refused connections and answers
// again may be one that has started, and cold.
func TestRestart_IsFedAsIfColdUntilTheListTells(t *testing.T) {
	now := time.Unix(1000, 0)
	set := coldSet("a", []string{"a"}, false, now)
	info := Info{ID: "warm", Pool: testPool, Slots: 8, Born: firstBorn}
	set.put(info, now)
	set.Begin("cold", Ask{}, now).End(Succeeded, now)
	set.Begin("warm", Ask{}, now).End(Unreachable, now)
	now = now.Add(ejectionFirst / 2)
	set.Begin("warm", Ask{}, now).End(Succeeded, now)
	if got := admitted(set, "warm", 5, now); got > 1 {
		t.Errorf("a replica that may have started again got %d requests at once", got)
	}
	told := now.Add(500 * time.Millisecond)
	info.Born, info.ColdLeft = secondBorn, 2*time.Second
	set.put(info, told)
	if got := admitted(set, "warm", 5, told.Add(time.Second)); got != 1 {
		t.Errorf("a replica that has started again got %d requests at once", got)
	}
	// Without such a word it is the one from before.
	other := coldSet("a", []string{"a"}, false, now)
	info = Info{ID: "warm", Pool: testPool, Slots: 8, Born: firstBorn}
	other.put(info, now)
	other.Begin("cold", Ask{}, now).End(Succeeded, now)
	other.Begin("warm", Ask{}, now).End(Unreachable, now)
	other.Begin("warm", Ask{}, now).End(Succeeded, now)
	if admitted(other, "warm", 5, now.Add(2*time.Second)) != 5 {
		t.Error("a replica that only could not be reached stays bounded")
	}
}

// TestRestart_TheHomeOfAPrefixStays: all nodes agree on it by the id alone, also those that
// notice the start late. The first request there reads the prefix.
func TestRestart_TheHomeOfAPrefixStays(t *testing.T) {
	now := time.Now()
	set := startedSet(6, now)
	demand := func() *Demand { return &Demand{Ask: Ask{Tokens: 9000}, Affinity: 77, Shared: 6000} }
	before, err := Pick(set.SnapshotFor(testPool, demand(), now), demand(), Weights{})
	if err != nil {
		t.Fatal(err)
	}
	again := before.Info
	again.Born = thirdBorn
	set.put(again, now)
	after, err := Pick(set.SnapshotFor(testPool, demand(), now), demand(), Weights{})
	if err != nil || after.ID != before.ID {
		t.Errorf("the home of a prefix was %s and is %s, %v", before.ID, after.ID, err)
	}
}

// TestRestart_OneThatLapsedInAnOutageAndStartedMeanwhile: its entry is kept in doubt, not
// with what was known of it.
func TestRestart_OneThatLapsedInAnOutageAndStartedMeanwhile(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	busy(set, now)
	set.Begin("r00", Ask{}, now).End(Unreachable, now)
	set.Outage(6*time.Second, now)
	set.Remove("r00", now)
	set.put(listed(secondBorn), now)
	later := now.Add(doubtTime + time.Second)
	if known := seen(t, set, "r00", later); known.Open != 0 || known.Ejected {
		t.Errorf("it has what was known before: %+v", known)
	}
	if !ids(set.Snapshot(testPool, 0, later))["r00"] {
		t.Error("it is taken as gone still")
	}
}

// TestRestart_ListedAgainByTheSameStart: a replica that was frozen lapses, and is back with
// what it was sent.
func TestRestart_ListedAgainByTheSameStart(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	uses := busy(set, now)
	set.Remove("r00", now)
	set.put(listed(firstBorn), now)
	if known := seen(t, set, "r00", now); known.Open != 3 || known.Batch != 1 {
		t.Errorf("its requests are forgotten: %+v", known)
	}
	for _, use := range uses {
		use.End(Succeeded, now)
	}
	if known := seen(t, set, "r00", now); known.Open != 0 || known.Batch != 0 || known.PendingTokens != 0 {
		t.Errorf("its requests have ended: %+v", known)
	}
}
